import type { HeldBytes } from './heldBytes.js'

/** Share of the bound above which new requests are refused, so that answers that are still being received fit. */
const FILLING_SHARE = 0.5
/** Share of the bound that answers being received from one target may hold while the memory is filling. */
const TARGET_SHARE = 1 / 12

/**
 * Bytes of answers that this process holds, from their first byte until their caller has them.
 *
 * Guards against many large answers at once: each is read whole, so that a broken one can be retried, and a process that
 * takes too much memory is killed with every request that it has. From half of the bound on new requests are refused
 * before they run; an answer that would exceed the bound is dropped.
 *
 * Guards also against a few targets whose answers have no end: before requests are refused, the largest answer of the target that holds
 * most is given up, as long as that target holds more than its share.
 */
export class AnswerMemory {
  private held = 0
  private readonly receivers = new Set<HeldBytes>()

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

  /** Adds an answer that is being received, and gives up the largest ones if they fill the memory. */
  addReceiver (receiver: HeldBytes): void {
    this.receivers.add(receiver)
    while (this.isFilling) {
      const largest = this.findLargestReceiver()
      if (largest === undefined) return
      largest.abort()
    }
  }

  removeReceiver (receiver: HeldBytes): void {
    this.receivers.delete(receiver)
  }

  get heldBytes (): number {
    return this.held
  }

  /** Whether so many bytes are held that new requests are refused. */
  get isFilling (): boolean {
    return this.held > this.maxBytes * FILLING_SHARE
  }

  /** Finds the largest answer of the target whose answers hold most; undefined if no target holds more than its share. */
  private findLargestReceiver (): HeldBytes | undefined {
    const sums = new Map<string, number>()
    for (const { target = '', count } of this.receivers) sums.set(target, (sums.get(target) ?? 0) + count)
    const [target, sum] = [...sums].reduce((most, each) => each[1] > most[1] ? each : most, ['', 0])
    if (sum <= this.maxBytes * TARGET_SHARE) return undefined
    return [...this.receivers].filter((receiver) => receiver.target === target).reduce((most, each) => each.count > most.count ? each : most)
  }
}
