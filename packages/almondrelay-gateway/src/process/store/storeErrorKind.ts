/** What a failed call to the store means for its caller. */
const StoreErrorKind = {
  /** The store did nothing; the call may be made again. */
  refused: 'refused',
  /** No answer came: the call may have taken effect, or may still do so. */
  unknown: 'unknown',
  /** The store holds the call itself to be wrong; making it again changes nothing. */
  invalid: 'invalid'
} as const

type StoreErrorKind = (typeof StoreErrorKind)[keyof typeof StoreErrorKind]

export { StoreErrorKind }
