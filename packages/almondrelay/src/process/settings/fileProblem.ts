/** One thing that is wrong in a file that people write, and what to write instead. */
export interface FileProblem {
  file: string
  /** Line in the file, from 1. */
  line: number
  /** Path of the value, such as `listen.caller` or `0.spec.targets.3.address`; empty for the whole file. */
  path: string
  found: string
  remedy: string
}
