import type { PlannedAnswer } from './plannedAnswer.js'

/** What happens for one request of a test: the bytes of the target before it, the request, and what the target then writes. */
export interface PlannedExchange {
  method: 'GET' | 'POST' | 'HEAD'
  /** Earlier request whose id is sent again, counted back; undefined for a new id. */
  repeatedBack: number | undefined
  /** Milliseconds since the previous request was settled. */
  gapMs: number
  /** Bytes of the target before the request is sent: answers nobody asked for, and empty lines. */
  idleAnswers: readonly PlannedAnswer[]
  idleEmptyLines: number
  answers: readonly PlannedAnswer[]
  /** Sizes of the pieces in which the bytes arrive, and the rest in one; a piece is read before the next one is written. */
  pieces: readonly number[]
  end: 'open' | 'closed' | 'reset'
}
