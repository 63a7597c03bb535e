/** How far a cell is proved. */
const ProofKind = {
  /** Its proof runs with the tests of this package. */
  here: 'proved here',
  /** A test elsewhere proves it; the cell names it. */
  elsewhere: 'proved',
  /** The fault can't touch the step; the cell says why. */
  impossible: 'impossible',
  notProved: 'not proved'
} as const

type ProofKind = (typeof ProofKind)[keyof typeof ProofKind]

export { ProofKind }
