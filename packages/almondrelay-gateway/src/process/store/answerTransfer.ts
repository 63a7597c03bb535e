/** The answer to one call, while it arrives. */
export class AnswerTransfer {
  /** Bytes of the body that have arrived. */
  receivedBytes = 0

  add (bytes: number): void {
    this.receivedBytes += bytes
  }
}
