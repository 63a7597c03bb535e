import type { Random } from '../random.js'
import { RefusalReason } from '../refusalReason.js'
import type { CapView } from './capView.js'
import type { Placement } from './placement.js'
import type { PlacementInput } from './placementInput.js'
import { PlacementReason } from './placementReason.js'
import type { PlacementZone } from './placementZone.js'
import type { ZoneView } from './zoneView.js'

/** Time in which a report of another zone's free slots loses about two thirds of its weight; zones report every second. */
const REPORT_DECAY_MS = 2_000
/** A report older than this is ignored: the zone then counts as without free slots. */
const MAX_REPORT_AGE_MS = 10_000
/** Random share added to the expected cost of other zones, so that hosts with the same state don't all ask the same zone. */
const COST_JITTER = 0.2
/** Maximum number of zones to try; each costs a round trip, and a request has no time for more. */
const MAX_ZONES = 4
const MIN_RETRY_AFTER_MS = 1_000

interface RankedZone extends PlacementZone {
  rank: number
}

/**
 * Orders the availability zones in which a request may run.
 *
 * If requests simply went where the latency is lowest, the work of a lost region or a full
 * zone would overload the next region and take it down too. The order is: the region that
 * the policy gives the caller, drawn by weight; within it the own zone, then the others by
 * cost (round-trip time and expected wait); then the policy's other regions; then, if the
 * policy allows spilling, all other regions by cost. A zone other than the own one is
 * offered only if its last report, weighted by age, shows free slots, and may be used only
 * with a credit that it grants, so that a stale report costs one query but never causes an
 * overload. A region whose limit, link or shift cap is used up is left out, and gives the
 * reason of the refusal if no other region is left.
 */
export function choosePlacement (input: PlacementInput, _now: number, random: Random): Placement {
  const candidates = input.zones.filter((zone) => zone.reachable && !zone.draining && zone.slots > 0)
  if (candidates.length === 0) return refuse(RefusalReason.noTarget, random)
  const inTime = candidates.filter((zone) => estimateCost(zone) + input.costMs <= input.remainingMs)
  if (inTime.length === 0) return refuse(RefusalReason.deadlineUnreachable, random)
  const blockingCaps = inTime.map((zone) => findBlockingCap(input, zone))
  const allowed = inTime.filter((zone, index) => blockingCaps[index] === undefined && allowRegion(input, zone))
  if (allowed.length === 0) return refuse(blockingCaps.find((cap) => cap !== undefined)?.reason ?? RefusalReason.noTarget, random)
  const usable = allowed.filter((zone) => zone.availabilityZone === input.ownZone || estimateFreeSlots(zone) >= 1)
  if (usable.length === 0) return refuse(RefusalReason.noCredit, random)
  const preferredRegion = pickRegion(input, usable, random)
  const ranked = usable.map((zone) => rankZone(input, zone, preferredRegion, random))
  ranked.sort((one, other) => one.rank - other.rank || one.costMs - other.costMs)
  return { kind: 'zones', zones: ranked.slice(0, MAX_ZONES).map(({ rank, ...zone }) => zone) }
}

const getWeight = (input: PlacementInput, region: string): number => input.weights?.[region] ?? 0

/**
 * Estimates the free slots of a zone: the reported number decays with age, but a report of one or more counts as at
 * least one until it is too old.
 */
const estimateFreeSlots = (zone: ZoneView): number => {
  if (zone.ageMs > MAX_REPORT_AGE_MS) return 0
  return zone.freeSlots * Math.max(Math.exp(-zone.ageMs / REPORT_DECAY_MS), Math.min(1, 1 / Math.max(1, zone.freeSlots)))
}

/** Round-trip time plus the expected wait in the zone. */
const estimateCost = (zone: ZoneView): number => 2 * zone.latencyMs + (zone.waitMs ?? 0)

const allowRegion = (input: PlacementInput, zone: ZoneView): boolean =>
  input.spill || input.weights === undefined || getWeight(input, zone.region) > 0

const findBlockingCap = (input: PlacementInput, zone: ZoneView): CapView | undefined =>
  input.caps.find((cap) => cap.free < 1 && cap.toRegion === zone.region && isCapApplicable(input, cap, zone))

/** Whether a limit applies to the request: that of a region applies to all work, that of a link or shift to work from its source region. */
const isCapApplicable = (input: PlacementInput, cap: CapView, zone: ZoneView): boolean => {
  if (cap.fromRegion === undefined) return true
  if (cap.fromRegion === zone.region) return false
  return cap.fromRegion === input.ownRegion || cap.fromRegion === input.callerRegion
}

/** Draws a region by the policy's weights; returns the own region if there is no policy. */
function pickRegion (input: PlacementInput, zones: readonly ZoneView[], random: Random): string {
  const regions = [...new Set(zones.map((zone) => zone.region))]
  const total = regions.reduce((sum, region) => sum + getWeight(input, region), 0)
  if (input.weights === undefined || total <= 0) return input.ownRegion
  let drawn = random() * total
  for (const region of regions) {
    drawn -= getWeight(input, region)
    if (drawn < 0) return region
  }
  return input.ownRegion
}

function rankZone (input: PlacementInput, zone: ZoneView, preferredRegion: string, random: Random): RankedZone {
  const isOwn = zone.availabilityZone === input.ownZone
  const costMs = estimateCost(zone)
  return {
    availabilityZone: zone.availabilityZone,
    region: zone.region,
    reason: explainZone(input, zone, preferredRegion),
    costMs: costMs * (isOwn ? 1 : 1 + COST_JITTER * random()),
    needsCredit: !isOwn,
    rank: rankRegion(input, zone, preferredRegion) + (isOwn ? 0 : 1)
  }
}

function rankRegion (input: PlacementInput, zone: ZoneView, preferredRegion: string): number {
  if (zone.region === preferredRegion) return 0
  return getWeight(input, zone.region) > 0 ? 2 : 4
}

function explainZone (input: PlacementInput, zone: ZoneView, preferredRegion: string): PlacementReason {
  if (zone.region !== preferredRegion) return getWeight(input, zone.region) > 0 ? PlacementReason.policy : PlacementReason.spill
  if (zone.region !== input.ownRegion) return PlacementReason.policy
  return zone.availabilityZone === input.ownZone ? PlacementReason.ownZone : PlacementReason.ownRegion
}

function refuse (reason: RefusalReason, random: Random): Placement {
  return { kind: 'refuse', reason, retryAfterMs: Math.round(MIN_RETRY_AFTER_MS * (1 + random())) }
}
