import { decodeStoreChanges } from './decodeStoreChanges.js'
import type { FieldReader } from './fieldReader.js'
import { isValidName } from './isValidName.js'
import type { PeerReport } from './peerReport.js'
import type { RequestLimitReport } from './requestLimitReport.js'
import type { ServiceDemand } from './serviceDemand.js'

/**
 * Decodes a host's load report. Returns undefined if it isn't valid, as anybody can send to the port.
 *
 * The fields of the message LoadReport are read one by one: processes live for seconds, and the generic decoder of the protobuf library,
 * which goes through a description of the message, is slow until the JIT compiler has optimized it. Each case is a field's tag, its number
 * times 8 plus its wire type. A repeated number may come packed or not.
 *
 * @param end position after the last byte of the message
 * @throws Error if the bytes are no protobuf message
 */
export function decodeLoadReport (reader: FieldReader, end: number): PeerReport | undefined {
  let host = ''
  let incarnation = ''
  let region = ''
  let sequence = 0
  let isLeaving = false
  let configurationVersion = 0
  const targetHashes: number[] = []
  const counts: number[] = []
  const demands: ServiceDemand[] = []
  let storeRevision = 0
  let isRegional = false
  let declaredRevision = 0
  let notableRevision = 0
  let storeAgeMs = 0
  let changes: PeerReport['changes']
  const requestLimits: RequestLimitReport[] = []
  const leavingTargets: number[] = []
  let storeEra = 0
  const lostZones: number[] = []
  const silentHosts: number[] = []
  while (reader.hasMore(end)) {
    const tag = reader.readTag()
    switch (tag) {
      case 10: host = reader.readText(); break
      case 18: incarnation = reader.readText(); break
      case 26: region = reader.readText(); break
      case 32: sequence = reader.readUint32(); break
      case 40: isLeaving = reader.readBoolean(); break
      case 48: configurationVersion = reader.readUint32(); break
      case 58: reader.readPackedFixed32(targetHashes); break
      case 61: targetHashes.push(reader.readFixed32()); break
      case 66: reader.readPackedUint32(counts); break
      case 64: counts.push(reader.readUint32()); break
      case 74: demands.push(decodeDemand(reader, reader.readEnd())); break
      case 81: storeRevision = reader.readDouble(); break
      case 88: isRegional = reader.readBoolean(); break
      case 97: declaredRevision = reader.readDouble(); break
      case 105: notableRevision = reader.readDouble(); break
      case 112: storeAgeMs = reader.readUint32(); break
      case 122: changes = decodeStoreChanges(reader, reader.readEnd()); break
      case 170: changes = decodeStoreChanges(reader, reader.readEnd()); break
      case 130: requestLimits.push(decodeLimit(reader, reader.readEnd())); break
      case 138: reader.readPackedFixed32(leavingTargets); break
      case 141: leavingTargets.push(reader.readFixed32()); break
      case 144: storeEra = reader.readUint32(); break
      case 154: reader.readPackedFixed32(lostZones); break
      case 157: lostZones.push(reader.readFixed32()); break
      case 162: reader.readPackedFixed32(silentHosts); break
      case 165: silentHosts.push(reader.readFixed32()); break
      default: reader.ignoreField(tag)
    }
  }
  if (!isValidName(host) || !isValidName(region) || !isRevision(storeRevision) || !isRevision(notableRevision) || !isRevision(declaredRevision)) return undefined
  const inFlight = new Map<number, number>()
  for (let index = 0; index < targetHashes.length; index += 1) inFlight.set(targetHashes[index] as number, counts[index] ?? 0)
  return {
    host,
    incarnation,
    region,
    sequence,
    isLeaving,
    configurationVersion,
    storePosition: { era: storeEra, revision: storeRevision },
    declaredRevision,
    notablePosition: { era: storeEra, revision: notableRevision },
    storeAgeMs,
    isRegional,
    inFlight,
    demands,
    requestLimits,
    leavingTargets,
    lostZones,
    silentHosts,
    changes
  }
}

const isRevision = (value: number): boolean => Number.isSafeInteger(value) && value >= 0

const decodeDemand = (reader: FieldReader, end: number): ServiceDemand => {
  let service = ''
  let perSecond = 0
  let warmMs = 0
  let coldMs = 0
  const parts = new Map<string, number>()
  while (reader.hasMore(end)) {
    const tag = reader.readTag()
    switch (tag) {
      case 10: service = reader.readText(); break
      case 21: perSecond = checkAmount(reader.readFloat()); break
      case 29: warmMs = checkAmount(reader.readFloat()); break
      case 34: decodePart(reader, reader.readEnd(), parts); break
      case 45: coldMs = checkAmount(reader.readFloat()); break
      default: reader.ignoreField(tag)
    }
  }
  return { service, perSecond, warmMs, coldMs, parts }
}

const decodePart = (reader: FieldReader, end: number, parts: Map<string, number>): void => {
  let region = ''
  let part = 0
  while (reader.hasMore(end)) {
    const tag = reader.readTag()
    switch (tag) {
      case 10: region = reader.readText(); break
      case 21: part = checkAmount(reader.readFloat()); break
      default: reader.ignoreField(tag)
    }
  }
  parts.set(region, part)
}

const decodeLimit = (reader: FieldReader, end: number): RequestLimitReport => {
  let incarnationHash = 0
  let perSecond = 0
  let ageMs = 0
  while (reader.hasMore(end)) {
    const tag = reader.readTag()
    switch (tag) {
      case 13: incarnationHash = reader.readFixed32(); break
      case 17: perSecond = checkAmount(reader.readDouble()); break
      case 24: ageMs = reader.readUint32(); break
      default: reader.ignoreField(tag)
    }
  }
  return { incarnationHash, perSecond: perSecond === 0 ? Infinity : perSecond, ageMs }
}

/** @throws Error if an amount is negative or not finite. Such a number would make every sum that includes it useless. */
const checkAmount = (value: number): number => {
  if (!Number.isFinite(value) || value < 0) throw new Error('an amount that is negative or not finite')
  return value
}
