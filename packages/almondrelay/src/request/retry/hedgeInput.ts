/** What a hedge is decided on. */
export interface HedgeInput {
  idempotent: boolean
  /** Attempts made so far. */
  attempts: number
  /** Monotonic milliseconds. */
  startedAt: number
  deadlineAt: number
  /** Expected cost of the request, in milliseconds. */
  costMs: number
  /** Free slots on other targets; a hedge never takes the slot that another request waits for. */
  freeSlots: number
  waiting: number
}
