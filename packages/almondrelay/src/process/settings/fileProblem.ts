/** One error in a file written by hand, with a suggested correction. */
export interface FileProblem {
  file: string
  /** Line in the file, starting at 1. */
  line: number
  /** Path of the value, such as `listen.caller` or `0.spec.targets.3.address`; empty for the whole file. */
  path: string
  found: string
  remedy: string
}
