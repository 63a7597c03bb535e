/** Bytes of the longest answer of the store that is read: many times a page of a listing, and a small part of a host's memory. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024

/** The answer to one call, while it arrives. */
export class AnswerTransfer {
  /** Bytes of the body that have arrived. */
  receivedBytes = 0

  /** @param maxBytes length of the body above which it is not read to its end */
  constructor (private readonly maxBytes = MAX_ANSWER_BYTES) {}

  /** Whether the body has begun to arrive. From then on the call fails only if it stalls. */
  get hasBegun (): boolean {
    return this.receivedBytes > 0
  }

  add (bytes: number): void {
    this.receivedBytes += bytes
  }

  /** @param bytes length of the body, so far or as announced */
  isTooLong (bytes: number): boolean {
    return bytes > this.maxBytes
  }
}
