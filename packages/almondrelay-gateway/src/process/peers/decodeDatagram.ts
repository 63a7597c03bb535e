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
      case LOAD_TAG: return makeMessage('load', readReport(bytes, decodeLoadReport))
      case USE_TAG: return makeMessage('use', readReport(bytes, decodeUsageReport))
      case TARGET_LOADS_TAG: return makeMessage('target-loads', readReport(bytes, decodeTargetLoads))
      default: return decodeContent(fromBinary(PeerDatagramSchema, bytes).content)
    }
  } catch {
    return undefined
  }
}

/** Reads the report in a datagram by its own decoder; undefined if no host can have sent it. */
const readReport = <Report>(bytes: Uint8Array, decode: (reader: FieldReader, end: number) => Report | undefined): Report | undefined => {
  const reader = new FieldReader(bytes)
  reader.readTag()
  return decode(reader, reader.readEnd())
}

const makeMessage = <Kind extends PeerMessage['kind'], Report>(kind: Kind, report: Report | undefined): { kind: Kind, report: Report } | undefined =>
  report === undefined ? undefined : { kind, report }

/** Decodes the rare messages with the protobuf library. */
const decodeContent = (content: PeerDatagram['content']): PeerMessage | undefined =>
  content.case === 'suspects' ? makeMessage('suspects', decodeSuspectReport(content.value)) : undefined
