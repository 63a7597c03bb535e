import type { UnsoundReason } from './unsoundReason.js'

/** Bytes of a target that are no answer, or none that this host takes in: nothing of them may be passed on. */
export class UnsoundAnswer extends Error {
  constructor (readonly reason: UnsoundReason, detail: string) {
    super(`unsound answer: ${detail}`)
  }
}
