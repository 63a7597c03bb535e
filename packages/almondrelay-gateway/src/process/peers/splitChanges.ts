import type { RelayedChanges } from '../fleet/relayedChanges.js'
import { getEventRevision } from '../store/getEventRevision.js'
import type { StoreEvent } from '../store/storeEvent.js'
import { encodeValue } from './encodeValue.js'

/** Bytes of a change besides its key and value. */
const CHANGE_OVERHEAD = 24

/**
 * Cuts changes into parts that fit into a datagram each; every part names the one before it, so that a receiver sees
 * which of them was lost. A change that fits into none ends the list: receivers then ask the store for it.
 *
 * @param mostBytes bytes of one part at most
 */
export function splitChanges ({ afterRevision, upToRevision, events }: RelayedChanges, mostBytes: number): RelayedChanges[] {
  const parts: StoreEvent[][] = []
  let left = 0
  for (const event of events) {
    const bytes = countBytes(event)
    if (bytes > mostBytes) return makeParts(parts, afterRevision, undefined)
    if (bytes > left) {
      parts.push([])
      left = mostBytes
    }
    parts.at(-1)?.push(event)
    left -= bytes
  }
  return makeParts(parts, afterRevision, upToRevision)
}

/** @param upToRevision what is known with the last part; undefined where changes behind it are left out */
const makeParts = (parts: readonly StoreEvent[][], afterRevision: number, upToRevision: number | undefined): RelayedChanges[] => {
  const ends = parts.map((events) => getEventRevision(events.at(-1) as StoreEvent))
  return parts.map((events, index) => ({
    afterRevision: ends[index - 1] ?? afterRevision,
    upToRevision: index === parts.length - 1 && upToRevision !== undefined ? upToRevision : ends[index] as number,
    events,
    forwardTo: []
  }))
}

const countBytes = (event: StoreEvent): number => CHANGE_OVERHEAD +
  (event.kind === 'written' ? Buffer.byteLength(event.item.key) + encodeValue(event.item.value).value.byteLength : Buffer.byteLength(event.key))
