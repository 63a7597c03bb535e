import { fromBinary } from '@bufbuild/protobuf'
import { PeerDatagramSchema, type PeerDatagram } from 'almondrelay-protocol'
import { decodeTargetLoads } from '../loads/decodeTargetLoads.js'
import { decodeUsageReport } from '../organisations/decodeUsageReport.js'
import { decodeSuspectReport } from '../quarantine/decodeSuspectReport.js'
import { decodeLoadReport } from './decodeLoadReport.js'
import { FieldReader } from './fieldReader.js'
import type { PeerMessage } from './peerMessage.js'

/** Tags of the datagram's fields with frequent messages: the number times 8 plus the wire type of a nested message. */
const LOAD_TAG = 10
const USE_TAG = 18
const TARGET_LOADS_TAG = 34

/**
 * Decodes a datagram from another host. Returns undefined if it isn't a valid message, as anybody can send to the port. Fields after the
 * first one, which a later build may send, are ignored.
 */
export function decodeDatagram (bytes: Uint8Array): PeerMessage | undefined {
  try {
    switch (bytes[0]) {
      case LOAD_TAG: return decodeLoad(bytes)
      case USE_TAG: return decodeUse(bytes)
      case TARGET_LOADS_TAG: return decodeLoads(bytes)
      default: return decodeContent(fromBinary(PeerDatagramSchema, bytes).content)
    }
  } catch {
    return undefined
  }
}

const decodeLoad = (bytes: Uint8Array): PeerMessage | undefined => {
  const reader = new FieldReader(bytes)
  reader.readTag()
  const report = decodeLoadReport(reader, reader.readEnd())
  return report === undefined ? undefined : { kind: 'load', report }
}

const decodeUse = (bytes: Uint8Array): PeerMessage | undefined => {
  const reader = new FieldReader(bytes)
  reader.readTag()
  const report = decodeUsageReport(reader, reader.readEnd())
  return report === undefined ? undefined : { kind: 'use', report }
}

const decodeLoads = (bytes: Uint8Array): PeerMessage | undefined => {
  const reader = new FieldReader(bytes)
  reader.readTag()
  const report = decodeTargetLoads(reader, reader.readEnd())
  return report === undefined ? undefined : { kind: 'target-loads', report }
}

/** Decodes the rare messages with the protobuf library. */
const decodeContent = (content: PeerDatagram['content']): PeerMessage | undefined => {
  if (content.case !== 'suspects') return undefined
  const report = decodeSuspectReport(content.value)
  return report === undefined ? undefined : { kind: 'suspects', report }
}
