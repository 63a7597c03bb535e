import { fromBinary } from '@bufbuild/protobuf'
import { LoadReportSchema } from 'almondrelay-protocol'
import type { PeerReport } from './peerReport.js'

/** The report in a datagram; undefined where it isn't one: anybody may send to the port. */
export function decodeReport (bytes: Uint8Array): PeerReport | undefined {
  try {
    const message = fromBinary(LoadReportSchema, bytes)
    return {
      host: message.host,
      incarnation: message.incarnation,
      region: message.region,
      sequence: message.sequence,
      isLeaving: message.leaving,
      configurationVersion: message.configurationVersion,
      storeRevision: message.storeRevision,
      declaredRevision: message.declaredRevision,
      isRegional: message.regional,
      inFlight: new Map(message.targetHashes.map((hash, index) => [hash, message.inFlight[index] ?? 0])),
      demands: message.demands.map(({ service, perSecond, warmMs, parts }) => ({
        service,
        perSecond,
        warmMs,
        parts: new Map(parts.map(({ region, part }) => [region, part]))
      }))
    }
  } catch {
    return undefined
  }
}
