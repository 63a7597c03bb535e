/** A problem of a resource that an operator wrote. */
export interface ResourceProblem {
  /** The field, such as `spec.weights.akl`. */
  path: string
  /** The value found there, shortened. */
  found: string
  /** What to write or do instead. */
  remedy: string
}
