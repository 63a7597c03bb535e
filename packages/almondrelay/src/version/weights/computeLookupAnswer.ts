import type { Random } from '../../request/random.js'
import type { HostView } from './hostView.js'
import type { HostWeight } from './hostWeight.js'
import type { LookupAnswer } from './lookupAnswer.js'
import type { LookupInput } from './lookupInput.js'
import { sortByWeightedDraw } from './sortByWeightedDraw.js'

/** A host's weight may change by this share of itself, or of an equal share if that is larger, in one time to live. */
const MAX_STEP_SHARE = 0.25
/** Maximum number of steps at once, even after a longer pause, because answers lag by up to a time to live. */
const MAX_STEPS = 2
/** Time in which reported free slots lose about two thirds of their weight compared with the total slots. */
const REPORT_DECAY_MS = 2_000
/** Weight of the total slots next to the free slots: a full host still gets some requests, or it would never be seen to be free again. */
const TOTAL_SLOTS_WEIGHT = 0.25
/** Times to live are drawn from 1 - `TTL_JITTER` to 1 + `TTL_JITTER` times the mean. */
const TTL_JITTER = 0.25
const MIN_TTL_MS = 100

/**
 * Computes the weights of entry hosts that a caller caches.
 *
 * Callers cache an answer for its time to live and reports of free slots are a second old, so
 * that weights which followed the reports immediately would send all callers to a host that
 * was free a moment ago, and back again. Here a weight changes by at most a quarter in one time
 * to live, half of the step that would oscillate forever with a lag of one time to live. A host
 * that leaves or can't be reached is removed immediately. Times to live are spread, so that
 * callers don't repeat their look-ups together. Weights follow the free slots that a host owns,
 * so that few requests need a second hop.
 *
 * `previous`: the previous answer of this host for the same region and service.
 */
export function computeLookupAnswer (input: LookupInput, previous: LookupAnswer | undefined, now: number, random: Random): LookupAnswer {
  const hosts = input.hosts.filter((host) => host.reachable && !host.leaving && host.slots > 0)
  const wanted = normalize(weighHosts(input, hosts))
  const weights = previous === undefined ? wanted : limitSteps(wanted, previous, input.ttlMs, now)
  return {
    hosts: sortByWeightedDraw(weights, random),
    ttlMs: Math.max(MIN_TTL_MS, Math.round(input.ttlMs * (1 - TTL_JITTER + 2 * TTL_JITTER * random()))),
    computedAt: now
  }
}

function weighHosts (input: LookupInput, hosts: readonly HostView[]): HostWeight[] {
  const sums = new Map<string, number>()
  for (const host of hosts) sums.set(host.region, (sums.get(host.region) ?? 0) + weighSlots(host))
  return hosts.map((host) => {
    const ownSlots = weighSlots(host)
    if (input.regionShares === undefined) return { host: host.name, weight: ownSlots }
    return { host: host.name, weight: (input.regionShares[host.region] ?? 0) * ownSlots / (sums.get(host.region) ?? 1) }
  })
}

const weighSlots = (host: HostView): number => {
  const trust = (1 - TOTAL_SLOTS_WEIGHT) * Math.exp(-host.ageMs / REPORT_DECAY_MS)
  return trust * host.freeSlots + (1 - trust) * host.slots
}

/**
 * Moves all weights by the same share of the way from the previous to the wanted ones, so that they still sum to 1:
 * the largest share that keeps each within its step. The previous weights of removed hosts are first spread over the
 * others.
 */
function limitSteps (wanted: readonly HostWeight[], previous: LookupAnswer, ttlMs: number, now: number): HostWeight[] {
  const previousWeights = new Map(previous.hosts.map(({ host, weight }) => [host, weight]))
  const staying = wanted.filter(({ host }) => previousWeights.has(host))
  const keptWeight = staying.reduce((sum, { host }) => sum + (previousWeights.get(host) ?? 0), 0)
  if (keptWeight <= 0) return [...wanted]
  const steps = Math.min(MAX_STEPS, Math.max(0, now - previous.computedAt) / ttlMs)
  const equalShare = 1 / wanted.length
  const moves = wanted.map(({ host, weight }) => {
    const from = (previousWeights.get(host) ?? 0) / keptWeight
    return { host, from, difference: weight - from, step: MAX_STEP_SHARE * steps * Math.max(from, equalShare) }
  })
  const moveShare = moves.reduce((least, { difference, step }) => difference === 0 ? least : Math.min(least, step / Math.abs(difference)), 1)
  return moves.map(({ host, from, difference }) => ({ host, weight: from + moveShare * difference }))
}

function normalize (weights: readonly HostWeight[]): HostWeight[] {
  const total = weights.reduce((sum, { weight }) => sum + weight, 0)
  if (total <= 0) return weights.map(({ host }) => ({ host, weight: 1 / weights.length }))
  return weights.map(({ host, weight }) => ({ host, weight: weight / total }))
}
