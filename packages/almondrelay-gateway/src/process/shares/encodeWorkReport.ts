import type { MessageInitShape } from '@bufbuild/protobuf'
import type { ShareSnapshotSchema, ShareSnapshotsSchema, ServiceWorkSchema, WorkByClassSchema } from 'almondrelay-protocol'
import type { ClassWork } from '../../request/classWork.js'
import type { AgedSnapshot } from './agedSnapshot.js'
import type { AgedWork } from './agedWork.js'
import { toUint32 } from './toUint32.js'
import type { WorkReport } from './workReport.js'

/** Organisations and routes of one service that are reported, those with most work first; it bounds the bytes of a report. */
const MAX_CLASSES = 120
const FRACTION_UNITS = 10_000
/** Largest value of the float fields. */
const MAX_FLOAT = 3.4e38

interface WorkFields {
  work: Array<MessageInitShape<typeof ServiceWorkSchema>>
  zoneWork: Array<MessageInitShape<typeof ServiceWorkSchema>>
  shares?: MessageInitShape<typeof ShareSnapshotsSchema>
}

/** Returns the fields of a usage report that are about fair shares. */
export function encodeWorkReport ({ own, zone, shares }: WorkReport): WorkFields {
  return {
    work: encodeWorks(own),
    zoneWork: encodeWorks(zone),
    ...(shares === undefined ? {} : { shares: { clockMs: shares.clockMs, snapshots: [...shares.snapshots].map(([hash, aged]) => encodeSnapshot(hash, aged)) } })
  }
}

/** Returns a value that the float fields can hold and that receivers accept: they ignore reports with negative or infinite rates. */
const toRate = (value: number): number => Number.isNaN(value) ? 0 : Math.min(MAX_FLOAT, Math.max(0, value))

const encodeWorks = (works: ReadonlyMap<number, AgedWork> | undefined): Array<MessageInitShape<typeof ServiceWorkSchema>> => [...(works ?? [])].map(([serviceHash, { work, ageMs }]) => ({
  serviceHash,
  ageMs: toUint32(ageMs),
  organisations: encodeClasses(work.organisations),
  routes: encodeClasses(work.routes),
  sentMs: toUint32(work.sentMs),
  requestsPerSecond: toRate(work.requestsPerSecond),
  turnedAwayPerSecond: toRate(work.turnedAwayPerSecond)
}))

const encodeClasses = (classes: ReadonlyMap<number, ClassWork>): MessageInitShape<typeof WorkByClassSchema> => {
  const largest = [...classes].sort(([, first], [, second]) => second.askedMs - first.askedMs).slice(0, MAX_CLASSES)
  return {
    hashes: largest.map(([hash]) => hash),
    priorities: largest.map(([, { priority }]) => toUint32(priority)),
    askedMs: largest.map(([, { askedMs }]) => toUint32(askedMs)),
    admittedMs: largest.map(([, { admittedMs }]) => toUint32(admittedMs))
  }
}

const encodeSnapshot = (serviceHash: number, { snapshot, ageMs }: AgedSnapshot): MessageInitShape<typeof ShareSnapshotSchema> => {
  const { capacityMs, marginPriority, shareMs } = snapshot
  const organisations = [...snapshot.organisations]
  const routes = [...snapshot.routes]
  return {
    serviceHash,
    ageMs: toUint32(ageMs),
    capacityMs: toUint32(capacityMs),
    ...(marginPriority === Infinity ? {} : { marginPriority: toUint32(marginPriority), shareMs: toUint32(Math.min(shareMs, capacityMs)) }),
    organisationHashes: organisations.map(([hash]) => hash),
    organisationFractions: organisations.map(([, { fraction }]) => toUint32(fraction * FRACTION_UNITS)),
    organisationAskedMs: organisations.map(([, { askedMs }]) => toUint32(askedMs)),
    routeHashes: routes.map(([hash]) => hash),
    routePriorities: routes.map(([, { priority }]) => toUint32(priority)),
    routeMixes: routes.map(([, { mix }]) => toUint32(mix * FRACTION_UNITS)),
    routeFloors: routes.map(([, { floorFraction }]) => toUint32(floorFraction * FRACTION_UNITS))
  }
}
