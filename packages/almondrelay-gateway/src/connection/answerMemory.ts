/** Share of the bound above which new requests are refused, so that answers that are still being received fit. */
const FILLING_SHARE = 0.5

/**
 * Bytes of answers that this process holds, from their first byte until their caller has them.
 *
 * Guards against many large answers at once: each is read whole, so that a broken one can be retried, and a process that
 * takes too much memory is killed with every request that it has. From half of the bound on new requests are refused
 * before they run; an answer that would exceed the bound is dropped.
 */
export class AnswerMemory {
  private held = 0

  constructor (private readonly maxBytes: number) {}

  /**
   * Counts bytes; returns false if the sum exceeds the bound. In either case they count until they are released.
   *
   * @throws RangeError if the count is no whole number, which would spoil the sum for all answers of the process
   */
  hold (bytes: number): boolean {
    if (!Number.isSafeInteger(bytes) || bytes < 0) throw new RangeError(`${bytes} is no count of bytes: count what was received`)
    this.held += bytes
    return this.held <= this.maxBytes
  }

  release (bytes: number): void {
    this.held -= bytes
  }

  get heldBytes (): number {
    return this.held
  }

  /** Whether so many bytes are held that new requests are refused. */
  get isFilling (): boolean {
    return this.held > this.maxBytes * FILLING_SHARE
  }
}
