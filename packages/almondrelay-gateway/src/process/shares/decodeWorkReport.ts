import type { ServiceWork, ShareSnapshot, ShareSnapshots, UseReport, WorkByClass } from 'almondrelay-protocol'
import type { ClassWork } from '../../request/classWork.js'
import type { AgedSnapshot } from './agedSnapshot.js'
import type { AgedWork } from './agedWork.js'
import type { SnapshotReport } from './snapshotReport.js'
import type { WorkReport } from './workReport.js'

const FRACTION_UNITS = 10_000
/** Bounds of what a host can have sent; more isn't kept. */
const MAX_SERVICES = 20
const MAX_CLASSES = 400
/** A thousand years: a later clock would have too few digits left for time slots. */
const MAX_CLOCK_MS = 3e13

/** Decodes the part of a usage report that is about fair shares; undefined if it has none or a host can't have sent it. */
export function decodeWorkReport ({ work, zoneWork, shares }: Pick<UseReport, 'work' | 'zoneWork'> & { shares: ShareSnapshots | undefined }): WorkReport | undefined {
  if (work.length === 0 && zoneWork.length === 0 && shares === undefined) return undefined
  if (![...work, ...zoneWork].every(isValidWork) || (shares !== undefined && !isValidShares(shares))) return undefined
  return {
    own: work.length === 0 ? undefined : decodeWorks(work),
    zone: zoneWork.length === 0 ? undefined : decodeWorks(zoneWork),
    shares: shares === undefined ? undefined : decodeShares(shares)
  }
}

const isRate = (value: number): boolean => Number.isFinite(value) && value >= 0

const isValidWork = ({ organisations, routes, requestsPerSecond, turnedAwayPerSecond }: ServiceWork): boolean =>
  isRate(requestsPerSecond) && isRate(turnedAwayPerSecond) && [organisations, routes].every((classes) => classes === undefined || isValidClasses(classes))

const isValidClasses = ({ hashes, priorities, askedMs, admittedMs }: WorkByClass): boolean =>
  hashes.length <= MAX_CLASSES && [priorities, askedMs, admittedMs].every(({ length }) => length === hashes.length)

const isValidShares = ({ clockMs, snapshots }: ShareSnapshots): boolean => isRate(clockMs) && clockMs <= MAX_CLOCK_MS && snapshots.length <= MAX_SERVICES && snapshots.every(isValidSnapshot)

const isValidSnapshot = ({ organisationHashes, organisationFractions, organisationAskedMs, routeHashes, routePriorities, routeMixes, routeFloors }: ShareSnapshot): boolean =>
  organisationHashes.length <= MAX_CLASSES && [organisationFractions, organisationAskedMs].every(({ length }) => length === organisationHashes.length) &&
  routeHashes.length <= MAX_CLASSES && [routePriorities, routeMixes, routeFloors].every(({ length }) => length === routeHashes.length) &&
  [organisationFractions, routeMixes, routeFloors].every((units) => units.every((unit) => unit <= FRACTION_UNITS))

const decodeWorks = (works: readonly ServiceWork[]): Map<number, AgedWork> => new Map(works.slice(0, MAX_SERVICES).map((each) => [each.serviceHash, {
  ageMs: each.ageMs,
  work: { organisations: decodeClasses(each.organisations), routes: decodeClasses(each.routes), sentMs: each.sentMs, requestsPerSecond: each.requestsPerSecond, turnedAwayPerSecond: each.turnedAwayPerSecond }
}]))

const decodeClasses = (classes: WorkByClass | undefined): Map<number, ClassWork> => new Map(classes?.hashes.map((hash, index) => [hash, { priority: classes.priorities[index] as number, askedMs: classes.askedMs[index] as number, admittedMs: classes.admittedMs[index] as number }]))

const decodeShares = ({ clockMs, snapshots }: ShareSnapshots): SnapshotReport => ({ clockMs, snapshots: new Map(snapshots.map((each) => [each.serviceHash, decodeSnapshot(each)])) })

const decodeSnapshot = (each: ShareSnapshot): AgedSnapshot => ({
  ageMs: each.ageMs,
  snapshot: {
    capacityMs: each.capacityMs,
    marginPriority: each.marginPriority ?? Infinity,
    shareMs: each.marginPriority === undefined ? Infinity : each.shareMs,
    organisations: new Map(each.organisationHashes.map((hash, index) => [hash, { fraction: (each.organisationFractions[index] as number) / FRACTION_UNITS, askedMs: each.organisationAskedMs[index] as number }])),
    routes: new Map(each.routeHashes.map((hash, index) => [hash, { priority: each.routePriorities[index] as number, mix: (each.routeMixes[index] as number) / FRACTION_UNITS, floorFraction: (each.routeFloors[index] as number) / FRACTION_UNITS }]))
  }
})
