/** Part of the bound from which on no new request is taken, so that answers that are on their way still fit. */
const FILLING_PART = 0.5

/**
 * Bytes of answers that this process holds, from their first byte until their caller has them.
 *
 * Guards against many large answers at once: each is read whole, so that a broken one can be asked for again, and a process that
 * takes too much memory is killed with every request that it has. From half of the bound on new requests are refused
 * before they run; an answer that would pass the bound is given up.
 */
export class BodyMemory {
  private held = 0

  constructor (private readonly mostBytes: number) {}

  /** Takes bytes in; false where they pass the bound. They count until they are given back in any case. */
  hold (bytes: number): boolean {
    this.held += bytes
    return this.held <= this.mostBytes
  }

  release (bytes: number): void {
    this.held -= bytes
  }

  get heldBytes (): number {
    return this.held
  }

  /** So much is held that new requests are refused. */
  get isFilling (): boolean {
    return this.held > this.mostBytes * FILLING_PART
  }
}
