/** Input of a hedge decision. */
export interface HedgeInput {
  idempotent: boolean
  /** Attempts made so far. */
  attempts: number
  /** Monotonic time in milliseconds at which the first attempt was started. */
  startedAt: number
  deadlineAt: number
  /** Expected cost of the request, in milliseconds. */
  costMs: number
  /** Free slots on other targets; a hedge never takes a slot for which another request waits. */
  freeSlots: number
  waiting: number
}
