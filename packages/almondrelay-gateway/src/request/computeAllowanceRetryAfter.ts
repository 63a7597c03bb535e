/**
 * Mean delay, in milliseconds, where one request is refused for each one that is admitted. The delay is proportional to the
 * requests refused for each one admitted, as room opens gradually while the window slides.
 */
const MEAN_RETRY_AFTER_MS = 1_000
/**
 * Bounds of the mean delay, in milliseconds: after a shorter one the refusal might not have reached the caller yet, after a
 * longer one the whole window is new.
 */
const MIN_MEAN_RETRY_AFTER_MS = 250
const MAX_MEAN_RETRY_AFTER_MS = 2_500

/**
 * Computes the milliseconds after which a request beyond its organisation's allowance may come back: the smaller the share of
 * admitted requests, the longer. The result is randomised, so that callers that were refused together don't come back together.
 *
 * @param admittedShare share of the organisation's requests that is admitted now
 * @param random in [0, 1)
 */
export function computeAllowanceRetryAfter (admittedShare: number, random: number): number {
  const meanMs = Math.min(MAX_MEAN_RETRY_AFTER_MS, Math.max(MIN_MEAN_RETRY_AFTER_MS, MEAN_RETRY_AFTER_MS * (1 / Math.max(Number.EPSILON, admittedShare) - 1)))
  return meanMs * (0.5 + random)
}
