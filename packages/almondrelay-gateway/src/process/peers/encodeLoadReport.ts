import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { LoadReportSchema, type StoreChangeSchema, type StoreChangesSchema } from 'almondrelay-protocol'
import type { RelayedChanges } from '../fleet/relayedChanges.js'
import type { RelayedEvent } from '../fleet/relayedEvent.js'
import { encodeDatagram } from './encodeDatagram.js'
import { encodeValue } from './encodeValue.js'
import type { PeerReport } from './peerReport.js'

export function encodeLoadReport (report: PeerReport): Uint8Array {
  return encodeDatagram({
    case: 'load',
    value: create(LoadReportSchema, {
      host: report.host,
      incarnation: report.incarnation,
      region: report.region,
      sequence: report.sequence,
      leaving: report.isLeaving,
      configurationVersion: report.configurationVersion,
      storeEra: report.storePosition.era,
      storeRevision: report.storePosition.revision,
      declaredRevision: report.declaredRevision,
      notableRevision: report.notablePosition.revision,
      storeAgeMs: report.storeAgeMs,
      regional: report.isRegional,
      targetHashes: [...report.inFlight.keys()],
      inFlight: [...report.inFlight.values()],
      demands: report.demands.map(({ service, perSecond, warmMs, coldMs, parts }) => ({
        service,
        perSecond,
        warmMs,
        coldMs,
        parts: [...parts].map(([region, part]) => ({ region, part }))
      })),
      requestLimits: report.requestLimits.map(({ incarnationHash, perSecond, ageMs }) => ({ targetHash: incarnationHash, perSecond: perSecond === Infinity ? 0 : perSecond, ageMs: Math.round(ageMs) })),
      leavingTargets: [...report.leavingTargets],
      lostZones: [...report.lostZones],
      silentHosts: [...report.silentHosts],
      ...(report.changes === undefined ? {} : { [hasPatch(report.changes) ? 'patchedChanges' : 'changes']: encodeChanges(report.changes) })
    })
  })
}

const encodeChanges = ({ after, upTo, events, forwardTo }: RelayedChanges): MessageInitShape<typeof StoreChangesSchema> =>
  ({ era: upTo.era, afterRevision: after.revision, upToRevision: upTo.revision, changes: events.map(encodeEvent), forwardTo: [...forwardTo] })

const hasPatch = ({ events }: RelayedChanges): boolean => events.some(({ kind }) => kind === 'patched')

const encodeEvent = (event: RelayedEvent): MessageInitShape<typeof StoreChangeSchema> => {
  if (event.kind === 'deleted') return { key: event.key, revision: event.revision, deleted: true }
  if (event.kind === 'written') return { key: event.item.key, revision: event.item.revision, createdRevision: event.item.createdRevision, ...encodeValue(event.item.value) }
  const { key, revision, createdRevision, patch: { baseRevision, hash, steps } } = event
  return { key, revision, createdRevision, baseRevision, valueHash: hash, patchSteps: steps }
}
