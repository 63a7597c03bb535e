import type { AdmissionInput } from './admissionInput.js'

/**
 * Queue, in parts of the work on one request, that is accepted in any case: a request that can't be on time is served where
 * a slot is all but free. With more, requests whose object is worked on anew fill the queues in which shorter ones, whose object
 * is held, would still be on time; with less, keys that move to another region are refused there.
 */
const LEAST_WAIT_PART = 0.15
/** Part of the time left after trip and work that a request may spend in a queue and still be on time. */
const SLACK_PART = 0.9
/** Milliseconds after which a refused caller may come back at the earliest, so that it doesn't find the same queue. */
const LEAST_RETRY_MS = 40

/**
 * Milliseconds after which a caller may come back, or 0 where its request is sent now.
 *
 * Answers overload: with long queues every answer is late, and late answers are worth little, though targets work
 * without a pause. A queue no longer than what still lets the answer be on time keeps those in it on time; the others
 * are told at once when there is room. Where no queue at all would be on time, the request is served only beside others:
 * it still earns a part, and its object is held from then on.
 */
export function decideAdmission ({ choice, targetLatencyMs, elapsedMs, leftMs }: AdmissionInput): number {
  const slackMs = (targetLatencyMs - elapsedMs - choice.tripMs - choice.workMs) * SLACK_PART
  const allowedMs = Math.min(leftMs, Math.max(slackMs, choice.workMs * LEAST_WAIT_PART))
  return choice.waitMs <= allowedMs ? 0 : Math.max(LEAST_RETRY_MS, choice.waitMs - allowedMs)
}
