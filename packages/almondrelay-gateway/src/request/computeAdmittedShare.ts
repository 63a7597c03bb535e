import type { AllowanceInput } from './allowanceInput.js'

/** Seconds of requests for which there must be room: what the other hosts have admitted is known with about this delay. */
const REPORT_DELAY_S = 0.8
/**
 * Share of the limit that is kept in reserve: what the other hosts have admitted is known late, so a sudden rise in requests
 * exceeds the value that is aimed at.
 */
const RESERVE_SHARE = 0.05
/**
 * Requests by which the reserve is reduced, so that small limits need no reserve: a limit of a hundred in a window is exceeded by
 * a few requests, if at all.
 */
const RESERVE_REDUCTION_REQUESTS = 5

/**
 * Computes the share of an organisation's requests that this host admits, so that all hosts together keep to its allowance.
 *
 * An organisation may send many times its usual rate through many hosts, each of which sees a small share of its requests. With
 * an equal split of the allowance, nearly all requests of an organisation that reaches each host once in several seconds would be
 * refused, although it is far below its limit; and if each host counted only its own requests, they would together admit the
 * limit once per host. Here every host knows the sum, as it was a moment ago, and refuses the same share at random: none below
 * the limit, the excess above it.
 *
 * Requests that leave the window before the reports are up to date count as room: without that, an organisation that always
 * exceeds its limit would get four fifths of it.
 *
 * A host that doesn't receive the reports of all others keeps to a share of the limit: the share of all hosts that it knows.
 * Otherwise the two sides of a partition would each admit the whole limit, and together twice as much.
 */
export function computeAdmittedShare ({ limit, admitted, leavingPerSecond, askedPerSecond, knownHostShare }: AllowanceInput): number {
  const reducedLimit = limit - Math.max(0, limit * RESERVE_SHARE - RESERVE_REDUCTION_REQUESTS)
  const room = reducedLimit * knownHostShare - admitted + leavingPerSecond * REPORT_DELAY_S
  if (room <= 0) return 0
  const expectedRequests = askedPerSecond * REPORT_DELAY_S
  return expectedRequests <= room ? 1 : room / expectedRequests
}
