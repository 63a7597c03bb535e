import type { AnswerMemory } from './answerMemory.js'

/** Bytes that one owner holds. They are released once and together, so that the sum of all owners can't become wrong. */
export class HeldBytes {
  private bytes = 0

  constructor (private readonly memory: AnswerMemory) {}

  get count (): number {
    return this.bytes
  }

  /** Counts further bytes; returns false if all owners together exceed the bound. They count in either case. */
  hold (bytes: number): boolean {
    const hasRoom = this.memory.hold(bytes)
    this.bytes += bytes
    return hasRoom
  }

  release (): void {
    const { bytes } = this
    this.bytes = 0
    this.memory.release(bytes)
  }
}
