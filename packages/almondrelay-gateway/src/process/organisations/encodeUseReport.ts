import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { UseReportSchema, type ZoneUseSchema } from 'almondrelay-protocol'
import { encodeDatagram } from '../peers/encodeDatagram.js'
import type { UseReport } from './useReport.js'
import type { ZoneUse } from './zoneUse.js'

export function encodeUseReport ({ host, incarnation, availabilityZone, sequence, totals, zone, fleet }: UseReport): Uint8Array {
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
      ...(zone === undefined ? {} : { zone: encodeZone(zone) }),
      ...(fleet === undefined ? {} : { fleet: encodeZone(fleet) })
    })
  })
}

const encodeZone = ({ hosts, unseenMs, uses }: ZoneUse): MessageInitShape<typeof ZoneUseSchema> => ({
  hosts: Math.floor(hosts),
  unseenMs: Math.round(unseenMs),
  organisationHashes: [...uses.keys()],
  letThrough: [...uses.values()].map(({ letThrough }) => Math.round(letThrough)),
  leaving: [...uses.values()].map(({ leavingPerSecond }) => Math.round(leavingPerSecond)),
  askedPerSecond: [...uses.values()].map(({ askedPerSecond }) => askedPerSecond)
})
