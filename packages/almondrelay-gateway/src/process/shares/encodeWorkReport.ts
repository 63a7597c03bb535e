import type { MessageInitShape } from '@bufbuild/protobuf'
import type { SharePictureSchema, SharePicturesSchema, ServiceWorkSchema, WorkByClassSchema } from 'almondrelay-protocol'
import type { ClassWork } from '../../request/classWork.js'
import type { AgedPicture } from './agedPicture.js'
import type { AgedWork } from './agedWork.js'
import type { WorkReport } from './workReport.js'

/** Organisations and routes of one service that are reported, those with most work first; it bounds the bytes of a report. */
const MAX_CLASSES = 120
const FRACTION_UNITS = 10_000
/** Largest value of the integer fields; sums of reports from elsewhere may exceed it. */
const MAX_INTEGER = 0xffffffff

interface WorkFields {
  work: Array<MessageInitShape<typeof ServiceWorkSchema>>
  zoneWork: Array<MessageInitShape<typeof ServiceWorkSchema>>
  shares?: MessageInitShape<typeof SharePicturesSchema>
}

/** Returns the fields of a usage report that are about fair shares. */
export function encodeWorkReport ({ own, zone, shares }: WorkReport): WorkFields {
  return {
    work: encodeWorks(own),
    zoneWork: encodeWorks(zone),
    ...(shares === undefined ? {} : { shares: { clockMs: shares.clockMs, pictures: [...shares.pictures].map(([hash, aged]) => encodePicture(hash, aged)) } })
  }
}

const toInteger = (value: number): number => Math.min(MAX_INTEGER, Math.max(0, Math.round(value)))

const encodeWorks = (works: ReadonlyMap<number, AgedWork> | undefined): Array<MessageInitShape<typeof ServiceWorkSchema>> => [...(works ?? [])].map(([serviceHash, { work, ageMs }]) => ({
  serviceHash,
  ageMs: toInteger(ageMs),
  organisations: encodeClasses(work.organisations),
  routes: encodeClasses(work.routes),
  sentMs: toInteger(work.sentMs),
  requestsPerSecond: work.requestsPerSecond,
  turnedAwayPerSecond: work.turnedAwayPerSecond
}))

const encodeClasses = (classes: ReadonlyMap<number, ClassWork>): MessageInitShape<typeof WorkByClassSchema> => {
  const largest = [...classes].sort(([, first], [, second]) => second.askedMs - first.askedMs).slice(0, MAX_CLASSES)
  return {
    hashes: largest.map(([hash]) => hash),
    priorities: largest.map(([, { priority }]) => priority),
    askedMs: largest.map(([, { askedMs }]) => toInteger(askedMs)),
    admittedMs: largest.map(([, { admittedMs }]) => toInteger(admittedMs))
  }
}

const encodePicture = (serviceHash: number, { picture, ageMs }: AgedPicture): MessageInitShape<typeof SharePictureSchema> => {
  const { capacityMs, marginPriority, shareMs } = picture
  const organisations = [...picture.organisations]
  const routes = [...picture.routes]
  return {
    serviceHash,
    ageMs: toInteger(ageMs),
    capacityMs: toInteger(capacityMs),
    ...(marginPriority === Infinity ? {} : { marginPriority, shareMs: toInteger(Math.min(shareMs, capacityMs)) }),
    organisationHashes: organisations.map(([hash]) => hash),
    organisationFractions: organisations.map(([, { fraction }]) => toInteger(fraction * FRACTION_UNITS)),
    organisationAskedMs: organisations.map(([, { askedMs }]) => toInteger(askedMs)),
    routeHashes: routes.map(([hash]) => hash),
    routePriorities: routes.map(([, { priority }]) => priority),
    routeMixes: routes.map(([, { mix }]) => toInteger(mix * FRACTION_UNITS)),
    routeFloors: routes.map(([, { floorFraction }]) => toInteger(floorFraction * FRACTION_UNITS))
  }
}
