/** What is wrong with a resource that an operator wrote. */
export interface ResourceProblem {
  /** The field, such as `spec.weights.akl`. */
  path: string
  /** What stands there, shortened. */
  found: string
  /** What to write or do instead. */
  remedy: string
}
