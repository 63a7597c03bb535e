import type { AdmissionInput } from './admissionInput.js'

/**
 * Wait that is accepted in any case, as a ratio to the work on the request: a request that can't be on time is still served where
 * a slot is almost free. With a higher ratio, requests that need work from scratch would fill the queues in which shorter ones,
 * whose object is cached, would still be on time; with a lower one, requests for keys that move to another region would be
 * refused there.
 */
const MIN_WAIT_WORK_RATIO = 0.15
/** Share of the time left after round trip and work that a request may spend in a queue and still count as being on time. */
const USABLE_SLACK_SHARE = 0.9
/** Minimum time, in milliseconds, after which a refused caller may come back, so that it doesn't find the same queue. */
const MIN_RETRY_AFTER_MS = 40

/**
 * Returns the milliseconds after which a caller may come back, or 0 where its request is sent now.
 *
 * Under overload with long queues every answer is late, and late answers are worth little, although the targets are always busy.
 * A request is therefore admitted only to a queue short enough for its answer to be on time; the others are refused at once, with
 * the time after which there will be room. A request that would be late even without a queue is served only where it hardly has
 * to wait: its answer still has some value, and its object is cached from then on.
 */
export function decideAdmission ({ choice, targetLatencyMs, elapsedMs, remainingMs }: AdmissionInput): number {
  const slackMs = (targetLatencyMs - elapsedMs - choice.roundTripMs - choice.workMs) * USABLE_SLACK_SHARE
  const maxWaitMs = Math.min(remainingMs, Math.max(slackMs, choice.workMs * MIN_WAIT_WORK_RATIO))
  return choice.waitMs <= maxWaitMs ? 0 : Math.max(MIN_RETRY_AFTER_MS, choice.waitMs - maxWaitMs)
}
