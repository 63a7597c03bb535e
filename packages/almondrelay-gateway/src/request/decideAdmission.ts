import type { AdmissionInput } from './admissionInput.js'

/**
 * Queue, in parts of the work on one request, that is accepted in any case: a request that can't be on time is served where
 * a slot is all but free. With a whole work in place of this, requests whose object is worked on anew filled the queues in
 * which those whose object is held, a third as long, would still have been on time: in six seconds of a burst with a zone
 * that came back cold 2,261 of 8,726 requests were answered on time, with a twentieth 4,033 (16 targets of 9 slots, one
 * run). At a twentieth keys that move to another region are refused there too often after a restart (experiment: worth
 * 0.882 where keys stay 0.883; at this 0.886 and 0.885), and under overload the experiment's worth is 0.57 for 0.36.
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
