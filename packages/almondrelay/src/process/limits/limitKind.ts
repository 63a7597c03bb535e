/** What a limit bounds; the value is the prefix of the limit's name. */
const LimitKind = {
  /** All work that a region's targets run. */
  region: 'region',
  /** Work that comes from one region and runs in another. */
  link: 'link',
  /** Work that comes from one region and runs in another, as capped by an operator for one service or for all. */
  shift: 'shift'
} as const

type LimitKind = (typeof LimitKind)[keyof typeof LimitKind]

export { LimitKind }
