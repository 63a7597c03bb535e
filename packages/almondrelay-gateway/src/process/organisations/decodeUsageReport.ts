import { fromBinary } from '@bufbuild/protobuf'
import { ServiceWorkSchema, ShareSnapshotsSchema, type ServiceWork, type ShareSnapshots } from 'almondrelay-protocol'
import type { AllowanceUsage } from '../../request/allowanceUsage.js'
import type { UsageTotals } from '../../request/usageTotals.js'
import type { FieldReader } from '../peers/fieldReader.js'
import { isValidName } from '../peers/isValidName.js'
import { decodeWorkReport } from '../shares/decodeWorkReport.js'
import type { UsageReport } from './usageReport.js'
import type { ZoneUsage } from './zoneUsage.js'

/** Twice the number of hosts of the largest fleet. A sum over more hosts can't be genuine. */
const MAX_HOSTS = 10_000

/**
 * Decodes a report of organisations' requests. Returns undefined if a host can't have sent it, for example because a rate isn't finite:
 * such a rate would make every sum that includes it useless.
 *
 * The fields of the message UseReport are read one by one, like those of a load report, because an aggregator receives dozens of these
 * reports a second. Each case is a field's tag, its number times 8 plus its wire type. A repeated number may come packed or not.
 *
 * @param end position after the last byte of the message
 * @throws Error if the bytes are no protobuf message
 */
export function decodeUsageReport (reader: FieldReader, end: number): UsageReport | undefined {
  let host = ''
  let incarnation = ''
  let availabilityZone = ''
  let sequence = 0
  const hashes: number[] = []
  const asked: number[] = []
  const letThrough: number[] = []
  let zone: ZoneUsage | undefined
  let fleet: ZoneUsage | undefined
  const serviceWork: ServiceWork[] = []
  const zoneWork: ServiceWork[] = []
  let shares: ShareSnapshots | undefined
  while (reader.hasMore(end)) {
    const tag = reader.readTag()
    switch (tag) {
      case 10: host = reader.readText(); break
      case 18: incarnation = reader.readText(); break
      case 26: availabilityZone = reader.readText(); break
      case 32: sequence = reader.readUint32(); break
      case 42: reader.readPackedFixed32(hashes); break
      case 45: hashes.push(reader.readFixed32()); break
      case 50: reader.readPackedUint32(asked); break
      case 48: asked.push(reader.readUint32()); break
      case 58: reader.readPackedUint32(letThrough); break
      case 56: letThrough.push(reader.readUint32()); break
      case 66: zone = decodeZoneUsage(reader, reader.readEnd()); break
      case 74: fleet = decodeZoneUsage(reader, reader.readEnd()); break
      // Sent only where fair shares are held; decoded by the protobuf library.
      case 82: serviceWork.push(fromBinary(ServiceWorkSchema, reader.readBytes())); break
      case 90: zoneWork.push(fromBinary(ServiceWorkSchema, reader.readBytes())); break
      case 98: shares = fromBinary(ShareSnapshotsSchema, reader.readBytes()); break
      default: reader.ignoreField(tag)
    }
  }
  if (!isValidName(host) || !isValidName(availabilityZone) || asked.length !== hashes.length || letThrough.length !== hashes.length) return undefined
  const totals = new Map<number, UsageTotals>()
  for (let index = 0; index < hashes.length; index += 1) totals.set(hashes[index] as number, { asked: asked[index] as number, letThrough: letThrough[index] as number })
  const work = decodeWorkReport({ work: serviceWork, zoneWork, shares })
  return { host, incarnation, availabilityZone, sequence, totals, zone, fleet, ...(work === undefined ? {} : { work }) }
}

/** @throws Error if a host can't have sent such a sum */
const decodeZoneUsage = (reader: FieldReader, end: number): ZoneUsage => {
  let hosts = 0
  let unseenMs = 0
  const hashes: number[] = []
  const letThrough: number[] = []
  const askedPerSecond: number[] = []
  const leaving: number[] = []
  while (reader.hasMore(end)) {
    const tag = reader.readTag()
    switch (tag) {
      case 8: hosts = reader.readUint32(); break
      case 16: unseenMs = reader.readUint32(); break
      case 26: reader.readPackedFixed32(hashes); break
      case 29: hashes.push(reader.readFixed32()); break
      case 34: reader.readPackedUint32(letThrough); break
      case 32: letThrough.push(reader.readUint32()); break
      case 42: reader.readPackedFloat(askedPerSecond); break
      case 45: askedPerSecond.push(reader.readFloat()); break
      case 50: reader.readPackedUint32(leaving); break
      case 48: leaving.push(reader.readUint32()); break
      default: reader.ignoreField(tag)
    }
  }
  const isComplete = [letThrough, leaving, askedPerSecond].every(({ length }) => length === hashes.length)
  if (hosts > MAX_HOSTS || !isComplete || !askedPerSecond.every((value) => Number.isFinite(value) && value >= 0)) throw new Error('a sum that no host sends')
  const usageByOrganisation = new Map<number, AllowanceUsage>()
  for (let index = 0; index < hashes.length; index += 1) usageByOrganisation.set(hashes[index] as number, { letThrough: letThrough[index] as number, leavingPerSecond: leaving[index] as number, askedPerSecond: askedPerSecond[index] as number })
  return { hosts, unseenMs, usageByOrganisation }
}
