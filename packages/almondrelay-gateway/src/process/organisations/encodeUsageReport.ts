import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { UseReportSchema, type ZoneUseSchema } from 'almondrelay-protocol'
import { encodeWorkReport } from '../shares/encodeWorkReport.js'
import { encodeDatagram } from '../peers/encodeDatagram.js'
import type { UsageReport } from './usageReport.js'
import type { ZoneUsage } from './zoneUsage.js'

export function encodeUsageReport ({ host, incarnation, availabilityZone, sequence, totals, zone, fleet, work }: UsageReport): Uint8Array {
  const counts = [...totals.values()]
  return encodeDatagram({
    case: 'use',
    value: create(UseReportSchema, {
      host,
      incarnation,
      availabilityZone,
      sequence,
      organisationHashes: [...totals.keys()],
      asked: counts.map(({ asked }) => asked),
      letThrough: counts.map(({ letThrough }) => letThrough),
      ...(zone === undefined ? {} : { zone: encodeZoneUsage(zone) }),
      ...(fleet === undefined ? {} : { fleet: encodeZoneUsage(fleet) }),
      ...(work === undefined ? {} : encodeWorkReport(work))
    })
  })
}

const encodeZoneUsage = ({ hosts, unseenMs, usageByOrganisation }: ZoneUsage): MessageInitShape<typeof ZoneUseSchema> => ({
  hosts: Math.floor(hosts),
  unseenMs: Math.round(unseenMs),
  organisationHashes: [...usageByOrganisation.keys()],
  letThrough: [...usageByOrganisation.values()].map(({ letThrough }) => Math.round(letThrough)),
  leaving: [...usageByOrganisation.values()].map(({ leavingPerSecond }) => Math.round(leavingPerSecond)),
  askedPerSecond: [...usageByOrganisation.values()].map(({ askedPerSecond }) => askedPerSecond)
})
