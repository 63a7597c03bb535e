/** A message that is being received, and can be given up to make room for others. */
export interface Receiving {
  /** Address of the target or caller that sends it. */
  readonly sender: string
  abort: () => void
}
