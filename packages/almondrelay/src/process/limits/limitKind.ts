/** What a limit bounds; its value begins the limit's name. */
const LimitKind = {
  /** All work that a region's targets run. */
  region: 'region',
  /** Work from one region in another. */
  link: 'link',
  /** The same, as an operator caps it, for one service or all. */
  shift: 'shift'
} as const

type LimitKind = (typeof LimitKind)[keyof typeof LimitKind]

export { LimitKind }
