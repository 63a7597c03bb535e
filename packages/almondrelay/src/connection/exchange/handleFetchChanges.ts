import { create } from '@bufbuild/protobuf'
import { ChangeSchema, FetchChangesResponseSchema } from 'almondrelay-protocol'
import type { FetchChangesRequest, FetchChangesResponse } from 'almondrelay-protocol'
import type { EncodedChange } from '../../process/configuration/encodedChange.js'
import { decodeCount } from './decodeCount.js'
import { decodeSender } from './decodeSender.js'
import type { ExchangeHub } from './exchangeHub.js'
import { makeRefusal } from './makeRefusal.js'
import { PeerRefusal } from './peerRefusal.js'

const MAX_CHANGES = 64
/** Maximum size of the changes in one answer, which always has at least one change; a change may be as long as a megabyte. */
const MAX_CHANGES_BYTES = 2 * 1_048_576

/** Returns the changes after a revision, or a snapshot if they are no longer retained. */
export function handleFetchChanges (request: FetchChangesRequest, hub: ExchangeHub): FetchChangesResponse {
  decodeSender(request.sender, 0n)
  const { store } = hub.options
  if (!store.isReady) throw makeRefusal(PeerRefusal.notReady, 'changes were asked for')
  const latestRevision = BigInt(store.current.revision)
  const kept = store.listChanges(decodeCount(request.afterRevision), Math.min(request.maxChanges, MAX_CHANGES))
  if (kept !== undefined) {
    const changes = limitBytes(kept).map(({ change, body }) => create(ChangeSchema, { revision: BigInt(change.revision), writeId: change.writeId, body }))
    return create(FetchChangesResponseSchema, { changes, latestRevision })
  }
  const snapshot = store.buildSnapshot()
  return create(FetchChangesResponseSchema, { snapshot: JSON.stringify(snapshot), snapshotRevision: BigInt(snapshot.revision), latestRevision })
}

function limitBytes (kept: readonly EncodedChange[]): EncodedChange[] {
  let bytes = 0
  return kept.filter(({ body }, index) => {
    bytes += body.length
    return index === 0 || bytes <= MAX_CHANGES_BYTES
  })
}
