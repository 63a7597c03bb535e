/** What is known about the effect of a failed call to the store. */
const StoreErrorKind = {
  /** The store did nothing; the call may be retried. */
  refused: 'refused',
  /** No answer arrived: the call may have taken effect, or may still do so. */
  unknown: 'unknown',
  /** The store rejected the call as invalid, or its answer was not understood; a retry does not help. */
  invalid: 'invalid'
} as const

type StoreErrorKind = (typeof StoreErrorKind)[keyof typeof StoreErrorKind]

export { StoreErrorKind }
