import type { MessageMemory } from './messageMemory.js'
import type { Receiving } from './receiving.js'

/** Bytes that one owner holds. They are released once and together, so that the sum of all owners can't become wrong. */
export class HeldBytes {
  private bytes = 0
  private isAborted = false

  /** @param receiving undefined for bytes that have been received in full */
  constructor (private readonly memory: MessageMemory, private receiving?: Receiving) {}

  get count (): number {
    return this.bytes
  }

  /** Address that the bytes are being received from; undefined for bytes that have been received in full. */
  get sender (): string | undefined {
    return this.receiving?.sender
  }

  /** Counts further bytes; returns false if there is no room for them, or none any more for those that were held. */
  hold (bytes: number): boolean {
    const hasRoom = this.memory.hold(bytes)
    if (this.bytes === 0 && bytes > 0 && this.receiving !== undefined) this.memory.addReceiver(this)
    this.bytes += bytes
    if (this.receiving !== undefined && this.memory.isFilling) this.memory.abortLargest()
    return hasRoom && !this.isAborted
  }

  /** Keeps bytes that have been received in full: they aren't given up any more. */
  keep (): void {
    this.receiving = undefined
    this.memory.removeReceiver(this)
  }

  release (): void {
    const { bytes } = this
    if (bytes === 0) return
    this.bytes = 0
    if (this.receiving !== undefined) this.memory.removeReceiver(this)
    this.memory.release(bytes)
  }

  /** Gives up the message that is being received. */
  abort (): void {
    this.isAborted = true
    this.release()
    this.receiving?.abort()
  }
}
