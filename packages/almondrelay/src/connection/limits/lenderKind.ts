/** In which of its two parts a host is asked for a loan. */
const LenderKind = {
  /** As holder of its zone's share. */
  zone: 'zone',
  /** As lender of the region. */
  region: 'region'
} as const

type LenderKind = (typeof LenderKind)[keyof typeof LenderKind]

export { LenderKind }
