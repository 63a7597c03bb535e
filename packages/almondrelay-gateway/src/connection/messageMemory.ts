import type { HeldBytes } from './heldBytes.js'

/** Share of the bound above which new requests are refused, so that messages that are still being received fit. */
const FILLING_SHARE = 0.5
/** Share of the bound that messages being received from one sender may hold while the memory is filling. */
const SENDER_SHARE = 1 / 12

/**
 * Bytes of messages that this process holds: of answers from their first byte until their caller has them, or of bodies of requests until
 * they are answered.
 *
 * Guards against many large messages at once: each is kept whole, so that a request can be sent again, and a process that
 * takes too much memory is killed with every request that it has. From half of the bound on new requests are refused
 * before they run; a message that would exceed the bound is dropped.
 *
 * Guards also against a few senders whose messages have no end: before requests are refused, the largest message of the sender that holds
 * most is given up, as long as that sender holds more than its share.
 */
export class MessageMemory {
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

  /** Adds a message that is being received. */
  addReceiver (receiver: HeldBytes): void {
    this.receivers.add(receiver)
  }

  /** Gives up the largest messages that are being received while they fill the memory. */
  abortLargest (): void {
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

  /** Finds the largest message of the sender whose messages hold most; undefined if no sender holds more than its share. */
  private findLargestReceiver (): HeldBytes | undefined {
    const sums = new Map<string, number>()
    for (const { sender = '', count } of this.receivers) sums.set(sender, (sums.get(sender) ?? 0) + count)
    const [sender, sum] = [...sums].reduce((most, each) => each[1] > most[1] ? each : most, ['', 0])
    if (sum <= this.maxBytes * SENDER_SHARE) return undefined
    return [...this.receivers].filter((receiver) => receiver.sender === sender).reduce((most, each) => each.count > most.count ? each : most)
  }
}
