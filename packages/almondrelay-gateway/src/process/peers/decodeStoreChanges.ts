import type { RelayedChanges } from '../fleet/relayedChanges.js'
import type { RelayedEvent } from '../fleet/relayedEvent.js'
import { getEventRevision } from '../store/getEventRevision.js'
import { decodeValue } from './decodeValue.js'
import type { FieldReader } from './fieldReader.js'

const NO_BYTES = new Uint8Array(0)

/**
 * Decodes the changes of the store in a load report. Each case is a field's tag, its number times 8 plus its wire type.
 *
 * @param end position after the last byte of the message
 * @throws Error if the bytes are no protobuf message, or if the revisions decrease or don't fit the range of the changes: a host would
 *   treat changes as known that it never received
 */
export function decodeStoreChanges (reader: FieldReader, end: number): RelayedChanges {
  let afterRevision = 0
  let upToRevision = 0
  const events: RelayedEvent[] = []
  const forwardTo: string[] = []
  let era = 0
  while (reader.hasMore(end)) {
    const tag = reader.readTag()
    switch (tag) {
      case 9: afterRevision = reader.readDouble(); break
      case 17: upToRevision = reader.readDouble(); break
      case 26: events.push(decodeChange(reader, reader.readEnd())); break
      case 34: forwardTo.push(reader.readText()); break
      case 40: era = reader.readUint32(); break
      default: reader.ignoreField(tag)
    }
  }
  checkOrder([afterRevision, ...events.map(getEventRevision), upToRevision])
  return { after: { era, revision: afterRevision }, upTo: { era, revision: upToRevision }, events, forwardTo }
}

const decodeChange = (reader: FieldReader, end: number): RelayedEvent => {
  let key = ''
  let revision = 0
  let isDeleted = false
  let value: Uint8Array = NO_BYTES
  let createdRevision = 0
  let isDeflated = false
  let baseRevision = 0
  let hash = 0
  let steps: Uint8Array | undefined
  while (reader.hasMore(end)) {
    const tag = reader.readTag()
    switch (tag) {
      case 10: key = reader.readText(); break
      case 17: revision = reader.readDouble(); break
      case 24: isDeleted = reader.readBoolean(); break
      case 34: value = reader.readBytes(); break
      case 41: createdRevision = reader.readDouble(); break
      case 48: isDeflated = reader.readBoolean(); break
      case 57: baseRevision = reader.readDouble(); break
      case 69: hash = reader.readFixed32(); break
      case 74: steps = reader.readBytes(); break
      default: reader.ignoreField(tag)
    }
  }
  checkRevision(createdRevision)
  checkRevision(baseRevision)
  if (steps !== undefined) return { kind: 'patched', key, revision, createdRevision, patch: { baseRevision, hash, steps } }
  return isDeleted ? { kind: 'deleted', key, revision } : { kind: 'written', item: { key, revision, createdRevision, value: decodeValue(value, isDeflated) } }
}

const checkOrder = (revisions: readonly number[]): void => {
  let previous = 0
  for (const revision of revisions) {
    checkRevision(revision)
    if (revision < previous) throw new Error('a revision that is lower than the one before it')
    previous = revision
  }
}

const checkRevision = (revision: number): void => {
  if (!Number.isSafeInteger(revision) || revision < 0) throw new Error('a revision that is no integer of 0 or more')
}
