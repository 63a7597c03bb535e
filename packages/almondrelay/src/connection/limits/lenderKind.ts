/** Role in which a host is asked for a loan. */
const LenderKind = {
  /** Holder of the zone's share. */
  zone: 'zone',
  /** Lender of the region. */
  region: 'region'
} as const

type LenderKind = (typeof LenderKind)[keyof typeof LenderKind]

export { LenderKind }
