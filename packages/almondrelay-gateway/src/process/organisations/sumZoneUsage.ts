import type { AllowanceUsage } from '../../request/allowanceUsage.js'
import type { FleetUsage } from './fleetUsage.js'
import type { UsageSnapshot } from './usageSnapshot.js'
import { SILENCE_MS } from './silenceMs.js'

/** Maximum age of a snapshot, in milliseconds, at which the next one isn't overdue yet. */
const MAX_CURRENT_AGE_MS = 600

/**
 * Adds up the usage of several zones. Their unseen times are averaged, weighted by the number of hosts.
 *
 * Each zone keeps admitting requests after it sent its snapshot. The sum therefore includes an estimate of these requests, from the
 * zone's request rate and the age of the snapshot; it is reduced where the rate of all zones together exceeds the organisation's
 * allowance. Without the estimate, each side of a network partition would treat the share that the other side is using as free until it
 * notices that the reports have stopped.
 *
 * @param findRate returns the requests per second that an organisation's allowance permits
 */
export function sumZoneUsage (zones: readonly UsageSnapshot[], findRate: (organisation: number) => number): FleetUsage {
  const sums = new Map<number, AllowanceUsage>()
  const askedSince = new Map<number, number>()
  const leftSince = new Map<number, number>()
  let hosts = 0
  let reportedHosts = 0
  let unseenHostMs = 0
  for (const { use, ageMs } of zones) {
    hosts += use.hosts * computeTrust(ageMs)
    reportedHosts += use.hosts
    unseenHostMs += use.unseenMs * use.hosts
    for (const [organisation, known] of use.usageByOrganisation) {
      sums.set(organisation, addUsage(sums.get(organisation), known))
      askedSince.set(organisation, (askedSince.get(organisation) ?? 0) + known.askedPerSecond * ageMs / 1_000)
      leftSince.set(organisation, (leftSince.get(organisation) ?? 0) + known.leavingPerSecond * ageMs / 1_000)
    }
  }
  const usageByOrganisation = new Map([...sums].map(([organisation, sum]) => [organisation, addEstimateSince(sum, askedSince.get(organisation) ?? 0, leftSince.get(organisation) ?? 0, findRate(organisation))]))
  return { hosts, unseenMs: unseenHostMs / Math.max(1, reportedHosts), usageByOrganisation }
}

/** Returns the share of a zone's hosts that counts as known, which falls from 1 to 0 the longer the zone's next snapshot is overdue. */
const computeTrust = (ageMs: number): number => Math.min(1, Math.max(0, (SILENCE_MS - ageMs) / (SILENCE_MS - MAX_CURRENT_AGE_MS)))

const addUsage = (first: AllowanceUsage | undefined, second: AllowanceUsage): AllowanceUsage => first === undefined
  ? second
  : { letThrough: first.letThrough + second.letThrough, leavingPerSecond: first.leavingPerSecond + second.leavingPerSecond, askedPerSecond: first.askedPerSecond + second.askedPerSecond }

const addEstimateSince = (sum: AllowanceUsage, askedSince: number, leftSince: number, ratePerSecond: number): AllowanceUsage => {
  const admittedShare = sum.askedPerSecond > ratePerSecond ? ratePerSecond / sum.askedPerSecond : 1
  return { ...sum, letThrough: Math.max(0, sum.letThrough + askedSince * admittedShare - leftSince) }
}
