import type { RelayedChanges } from '../fleet/relayedChanges.js'
import type { RelayedEvent } from '../fleet/relayedEvent.js'
import { getEventRevision } from '../store/getEventRevision.js'
import type { StorePosition } from '../store/storePosition.js'
import { encodeValue } from './encodeValue.js'

/** Bytes of an encoded change in addition to its key and value. */
const CHANGE_OVERHEAD_BYTES = 24
/** Bytes of a difference in addition to that and its steps. */
const PATCH_OVERHEAD_BYTES = 16

/**
 * Splits changes into chunks that each fit into a datagram. Every chunk names the position with which the one before it ends, so that a
 * receiver notices a lost chunk. Changes of one revision stay together, as a receiver that has a revision counts all of its changes as known.
 * The list ends before the first revision that is too large for a chunk; the receiver asks the store for it.
 *
 * @param maxBytes maximum bytes of a chunk of several revisions
 * @param maxSingleBytes maximum bytes of a chunk of one revision
 */
export function splitChanges ({ after, upTo, events }: RelayedChanges, maxBytes: number, maxSingleBytes = maxBytes): RelayedChanges[] {
  const chunks: RelayedEvent[][] = []
  let remainingBytes = 0
  for (const group of splitByRevision(events)) {
    const bytes = group.reduce((sum, event) => sum + countBytes(event), 0)
    if (bytes > maxSingleBytes) return makeChunks(chunks, after, undefined)
    if (bytes > remainingBytes) {
      chunks.push([])
      remainingBytes = maxBytes
    }
    chunks.at(-1)?.push(...group)
    remainingBytes -= bytes
  }
  return makeChunks(chunks, after, upTo)
}

/** @param upTo position that is known with the last chunk; undefined if changes after that chunk are left out */
const makeChunks = (chunks: readonly RelayedEvent[][], after: StorePosition, upTo: StorePosition | undefined): RelayedChanges[] => {
  const ends = chunks.map((events) => ({ era: after.era, revision: getEventRevision(events.at(-1) as RelayedEvent) }))
  return chunks.map((events, index) => ({
    after: ends[index - 1] ?? after,
    upTo: index === chunks.length - 1 && upTo !== undefined ? upTo : ends[index] as StorePosition,
    events,
    forwardTo: []
  }))
}

const splitByRevision = (events: readonly RelayedEvent[]): RelayedEvent[][] => {
  const groups: RelayedEvent[][] = []
  for (const event of events) {
    const group = groups.at(-1)
    if (group?.[0] !== undefined && getEventRevision(group[0]) === getEventRevision(event)) group.push(event)
    else groups.push([event])
  }
  return groups
}

const countBytes = (event: RelayedEvent): number => {
  if (event.kind === 'deleted') return CHANGE_OVERHEAD_BYTES + Buffer.byteLength(event.key)
  if (event.kind === 'patched') return CHANGE_OVERHEAD_BYTES + PATCH_OVERHEAD_BYTES + Buffer.byteLength(event.key) + event.patch.steps.byteLength
  return CHANGE_OVERHEAD_BYTES + Buffer.byteLength(event.item.key) + encodeValue(event.item.value).value.byteLength
}
