import type { KnownUse } from '../../request/knownUse.js'
import type { FleetUse } from './fleetUse.js'
import type { HeardUse } from './heardUse.js'
import { SILENCE_MS } from './silenceMs.js'

/** Age of a word, in milliseconds, up to which the next one isn't overdue. */
const TRUSTED_MS = 600

/**
 * The organisations' requests of several zones together; what is unseen counts by the zone's hosts.
 *
 * A word is as old as it is, and its zone lets requests through meanwhile: they are added by its rate, as far as the organisation's
 * allowance bears the rate of all zones. Without that, each side of a partition takes for free what the others are using, until
 * it sees that it doesn't hear them any more.
 *
 * @param findRate requests a second that an organisation's allowance bears
 */
export function addZones (zones: readonly HeardUse[], findRate: (organisation: number) => number): FleetUse {
  const sums = new Map<number, KnownUse>()
  const askedSince = new Map<number, number>()
  const leftSince = new Map<number, number>()
  let hosts = 0
  let heardHosts = 0
  let unseenHostMs = 0
  for (const { use, ageMs } of zones) {
    hosts += use.hosts * computeTrust(ageMs)
    heardHosts += use.hosts
    unseenHostMs += use.unseenMs * use.hosts
    for (const [organisation, known] of use.uses) {
      sums.set(organisation, addUses(sums.get(organisation), known))
      askedSince.set(organisation, (askedSince.get(organisation) ?? 0) + known.askedPerSecond * ageMs / 1_000)
      leftSince.set(organisation, (leftSince.get(organisation) ?? 0) + known.leavingPerSecond * ageMs / 1_000)
    }
  }
  const uses = new Map([...sums].map(([organisation, sum]) => [organisation, addSince(sum, askedSince.get(organisation) ?? 0, leftSince.get(organisation) ?? 0, findRate(organisation))]))
  return { hosts, unseenMs: unseenHostMs / Math.max(1, heardHosts), uses }
}

/** Part of a zone's hosts that counts as heard: less, the longer its next word is overdue. */
const computeTrust = (ageMs: number): number => Math.min(1, Math.max(0, (SILENCE_MS - ageMs) / (SILENCE_MS - TRUSTED_MS)))

const addUses = (first: KnownUse | undefined, second: KnownUse): KnownUse => first === undefined
  ? second
  : { letThrough: first.letThrough + second.letThrough, leavingPerSecond: first.leavingPerSecond + second.leavingPerSecond, askedPerSecond: first.askedPerSecond + second.askedPerSecond }

const addSince = (sum: KnownUse, askedSince: number, leftSince: number, ratePerSecond: number): KnownUse => {
  const borne = sum.askedPerSecond > ratePerSecond ? ratePerSecond / sum.askedPerSecond : 1
  return { ...sum, letThrough: Math.max(0, sum.letThrough + askedSince * borne - leftSince) }
}
