import type { Random } from '../../request/random.js'
import type { HostView } from './hostView.js'
import type { HostWeight } from './hostWeight.js'
import type { LookupAnswer } from './lookupAnswer.js'
import type { LookupInput } from './lookupInput.js'
import { sortByDraw } from './sortByDraw.js'

/** Part of a host's weight, and at least of an equal share, by which it may move in one time to live. */
const STEP = 0.25
/** Answers lag by up to a time to live, so a longer pause allows no more than this many steps at once. */
const MAX_STEPS = 2
/** Time in which reported free slots lose two thirds of their weight against the slots in total. */
const REPORT_FADE_MS = 2_000
/** Weight of the slots in total beside the free ones: a full host still gets a little, or it would never be seen free. */
const SLOTS_PART = 0.25
/** Times to live are drawn from 1 - SPREAD to 1 + SPREAD of the mean. */
const SPREAD = 0.25
const MIN_TTL_MS = 100

/**
 * Computes the weights of entry hosts that a caller caches.
 *
 * Answers herds on a lagging picture: callers keep an answer for its time to live and
 * reports of free slots are a second old, so weights that follow the reports at once send
 * everyone to the host that was free a moment ago, and back again. Here a weight moves by
 * at most a quarter in a time to live, half of what would swing for ever with one time to
 * live of lag; a host that leaves or can't be reached is out at once; times to live are
 * spread, so that callers don't ask again together. Weights follow the free slots that a host owns,
 * so that few requests need a second hop.
 *
 * `previous`: the answer that this host gave before to the same region and service.
 */
export function computeLookupAnswer (input: LookupInput, previous: LookupAnswer | undefined, now: number, random: Random): LookupAnswer {
  const hosts = input.hosts.filter((host) => host.reachable && !host.leaving && host.slots > 0)
  const wanted = normalize(weighHosts(input, hosts))
  const weights = previous === undefined ? wanted : limitSteps(wanted, previous, input.ttlMs, now)
  return {
    hosts: sortByDraw(weights, random),
    ttlMs: Math.max(MIN_TTL_MS, Math.round(input.ttlMs * (1 - SPREAD + 2 * SPREAD * random()))),
    computedAt: now
  }
}

function weighHosts (input: LookupInput, hosts: readonly HostView[]): HostWeight[] {
  const sums = new Map<string, number>()
  for (const host of hosts) sums.set(host.region, (sums.get(host.region) ?? 0) + weighSlots(host))
  return hosts.map((host) => {
    const own = weighSlots(host)
    if (input.regionShares === undefined) return { host: host.name, weight: own }
    return { host: host.name, weight: (input.regionShares[host.region] ?? 0) * own / (sums.get(host.region) ?? 1) }
  })
}

const weighSlots = (host: HostView): number => {
  const trust = (1 - SLOTS_PART) * Math.exp(-host.ageMs / REPORT_FADE_MS)
  return trust * host.freeSlots + (1 - trust) * host.slots
}

/** Weights that move from the previous ones all by the same part of the way, the largest that keeps each within its step, so that they still sum to 1; hosts that are gone have given up theirs to the others. */
function limitSteps (wanted: readonly HostWeight[], previous: LookupAnswer, ttlMs: number, now: number): HostWeight[] {
  const before = new Map(previous.hosts.map(({ host, weight }) => [host, weight]))
  const staying = wanted.filter(({ host }) => before.has(host))
  const kept = staying.reduce((sum, { host }) => sum + (before.get(host) ?? 0), 0)
  if (kept <= 0) return [...wanted]
  const steps = Math.min(MAX_STEPS, Math.max(0, now - previous.computedAt) / ttlMs)
  const equalShare = 1 / wanted.length
  const moves = wanted.map(({ host, weight }) => {
    const from = (before.get(host) ?? 0) / kept
    return { host, from, difference: weight - from, step: STEP * steps * Math.max(from, equalShare) }
  })
  const part = moves.reduce((least, { difference, step }) => difference === 0 ? least : Math.min(least, step / Math.abs(difference)), 1)
  return moves.map(({ host, from, difference }) => ({ host, weight: from + part * difference }))
}

function normalize (weights: readonly HostWeight[]): HostWeight[] {
  const total = weights.reduce((sum, { weight }) => sum + weight, 0)
  if (total <= 0) return weights.map(({ host }) => ({ host, weight: 1 / weights.length }))
  return weights.map(({ host, weight }) => ({ host, weight: weight / total }))
}
