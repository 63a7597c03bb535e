/** The answer to one call, while it arrives. */
export class AnswerTransfer {
  /** Bytes of the body that have arrived. */
  receivedBytes = 0

  /** Whether the body has begun to arrive. From then on the call fails only if it stalls. */
  get hasBegun (): boolean {
    return this.receivedBytes > 0
  }

  add (bytes: number): void {
    this.receivedBytes += bytes
  }
}
