import type { Client } from '@connectrpc/connect'
import type { FetchChangesResponse, PeerService } from 'almondrelay-protocol'
import { z } from 'zod'
import type { ConfigurationSnapshot } from '../../process/configuration/configurationSnapshot.js'
import type { ConfigurationStore } from '../../process/configuration/configurationStore.js'
import { decodeChange } from '../../process/configuration/decodeChange.js'
import { resourceSchema } from '../../process/configuration/resourceSchema.js'
import { AlmondrelayError } from '../../process/errors/almondrelayError.js'
import { ErrorKind } from '../../process/errors/errorKind.js'
import type { ExchangeHub } from './exchangeHub.js'

const MAX_CHANGES_PER_CALL = 64
const FETCH_TIMEOUT_MS = 5_000

const SnapshotSchema = z.object({
  revision: z.number().int().min(1),
  resources: z.array(resourceSchema),
  writes: z.array(z.object({ writeId: z.string(), revision: z.number().int() }))
})

/**
 * Fetches from a peer the changes that the store lacks. The revision that a peer states is not trusted: each
 * change after the store's revision is fetched, checked and adopted in order, so a peer that states a
 * revision without having its changes has no effect. Rejects if the peer doesn't answer, refuses, or
 * has fewer changes than it states.
 */
export async function repairFromPeer (client: Client<typeof PeerService>, hub: ExchangeHub, signal: AbortSignal): Promise<void> {
  const { store } = hub.options
  for (;;) {
    const ownRevision = store.current.revision
    const request = { sender: hub.makeSender(), afterRevision: BigInt(ownRevision), maxChanges: MAX_CHANGES_PER_CALL }
    const response = await client.fetchChanges(request, { signal, timeoutMs: FETCH_TIMEOUT_MS })
    adoptResponse(response, store)
    if (BigInt(store.current.revision) >= response.latestRevision) return
    if (store.current.revision === ownRevision) throw makeUnprovenError(response.latestRevision, ownRevision)
  }
}

function adoptResponse (response: FetchChangesResponse, store: ConfigurationStore): void {
  if (response.snapshot !== '') store.adoptSnapshot(decodeSnapshot(response))
  for (const { revision, writeId, body } of response.changes) {
    // The store may have adopted changes from the platform or another peer in the meantime.
    if (revision !== BigInt(store.current.revision + 1)) continue
    const change = decodeChange(body, Number(revision))
    if (change.writeId !== writeId) throw makeUnprovenError(revision, store.current.revision)
    store.adoptChange(change, body)
  }
}

function decodeSnapshot (response: FetchChangesResponse): ConfigurationSnapshot {
  const snapshot = SnapshotSchema.parse(JSON.parse(response.snapshot)) as ConfigurationSnapshot
  if (BigInt(snapshot.revision) !== response.snapshotRevision) throw makeUnprovenError(response.snapshotRevision, snapshot.revision)
  return snapshot
}

function makeUnprovenError (stated: bigint, proven: number): AlmondrelayError {
  return new AlmondrelayError({
    kind: ErrorKind.peerRefused,
    message: `a peer states revision ${stated} but proves no revision after ${proven}`,
    remedy: 'check the log of that host; no unproven change was adopted'
  })
}
