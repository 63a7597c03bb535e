import { create, toBinary } from '@bufbuild/protobuf'
import { LoadReportSchema } from 'almondrelay-protocol'
import type { PeerReport } from './peerReport.js'

export function encodeReport (report: PeerReport): Uint8Array {
  return toBinary(LoadReportSchema, create(LoadReportSchema, {
    host: report.host,
    incarnation: report.incarnation,
    region: report.region,
    sequence: report.sequence,
    leaving: report.isLeaving,
    configurationVersion: report.configurationVersion,
    storeRevision: report.storeRevision,
    declaredRevision: report.declaredRevision,
    notableRevision: report.notableRevision,
    storeAgeMs: report.storeAgeMs,
    regional: report.isRegional,
    targetHashes: [...report.inFlight.keys()],
    inFlight: [...report.inFlight.values()],
    demands: report.demands.map(({ service, perSecond, warmMs, parts }) => ({
      service,
      perSecond,
      warmMs,
      parts: [...parts].map(([region, part]) => ({ region, part }))
    }))
  }))
}
