import type { LoadReport, StoreChange, StoreChanges } from 'almondrelay-protocol'
import type { RelayedChanges } from '../fleet/relayedChanges.js'
import type { StoreEvent } from '../store/storeEvent.js'
import { decodeValue } from './decodeValue.js'
import type { PeerReport } from './peerReport.js'

/** Maximum length of a host's or region's name. Reports with longer names are rejected, as they can't come from a host. */
const MAX_NAME_LENGTH = 200

/** Decodes a host's load report. Returns undefined if it isn't valid, as anybody can send to the port. */
export function decodeLoadReport (message: LoadReport): PeerReport | undefined {
  if (!hasValidNames(message) || !hasValidRevisions(message) || !message.demands.every(hasValidNumbers) || !message.requestLimits.every(hasValidLimit)) return undefined
  return {
    host: message.host,
    incarnation: message.incarnation,
    region: message.region,
    sequence: message.sequence,
    isLeaving: message.leaving,
    configurationVersion: message.configurationVersion,
    storePosition: { era: message.storeEra, revision: message.storeRevision },
    declaredRevision: message.declaredRevision,
    notablePosition: { era: message.storeEra, revision: message.notableRevision },
    storeAgeMs: message.storeAgeMs,
    isRegional: message.regional,
    inFlight: new Map(message.targetHashes.map((hash, index) => [hash, message.inFlight[index] ?? 0])),
    demands: message.demands.map(({ service, perSecond, warmMs, coldMs, parts }) => ({
      service,
      perSecond,
      warmMs,
      coldMs,
      parts: new Map(parts.map(({ region, part }) => [region, part]))
    })),
    requestLimits: message.requestLimits.map(({ targetHash, perSecond, ageMs }) => ({ incarnationHash: targetHash, perSecond: perSecond === 0 ? Infinity : perSecond, ageMs })),
    leavingTargets: message.leavingTargets,
    lostZones: message.lostZones,
    changes: message.changes === undefined ? undefined : decodeChanges(message.changes)
  }
}

const hasValidNames = ({ host, region }: LoadReport): boolean => [host, region].every((name) => name.length > 0 && name.length <= MAX_NAME_LENGTH)

const hasValidRevisions = ({ storeRevision, notableRevision, declaredRevision, changes }: LoadReport): boolean =>
  [storeRevision, notableRevision, declaredRevision].every(isRevision) && (changes === undefined || isOrdered(changes))

const isRevision = (value: number): boolean => Number.isSafeInteger(value) && value >= 0

/** Returns whether the revisions never decrease, from the one before the first change to the one that is known with the last change. */
const isOrdered = ({ afterRevision, upToRevision, changes }: StoreChanges): boolean => {
  const revisions = [...changes.map(({ revision }) => revision), upToRevision]
  return isRevision(afterRevision) && changes.every(({ createdRevision }) => isRevision(createdRevision)) &&
    revisions.every((revision, index) => isRevision(revision) && revision >= (revisions[index - 1] ?? afterRevision))
}

const decodeChanges = ({ era, afterRevision, upToRevision, changes, forwardTo }: StoreChanges): RelayedChanges =>
  ({ after: { era, revision: afterRevision }, upTo: { era, revision: upToRevision }, events: changes.map(decodeChange), forwardTo })

const decodeChange = ({ key, revision, deleted, value, createdRevision, deflated }: StoreChange): StoreEvent => deleted
  ? { kind: 'deleted', key, revision }
  : { kind: 'written', item: { key, revision, createdRevision, value: decodeValue(value, deflated) } }

/** Returns whether all numbers are finite and not negative. A number that isn't finite would make every sum that includes it useless. */
const hasValidNumbers = ({ perSecond, warmMs, coldMs, parts }: LoadReport['demands'][number]): boolean =>
  [perSecond, warmMs, coldMs, ...parts.map(({ part }) => part)].every((value) => Number.isFinite(value) && value >= 0)

const hasValidLimit = ({ perSecond }: LoadReport['requestLimits'][number]): boolean => Number.isFinite(perSecond) && perSecond >= 0
