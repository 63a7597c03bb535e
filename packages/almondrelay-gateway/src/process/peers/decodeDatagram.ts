import { fromBinary } from '@bufbuild/protobuf'
import { PeerDatagramSchema, type PeerDatagram } from 'almondrelay-protocol'
import { match } from 'ts-pattern'
import { decodeUsageReport } from '../organisations/decodeUsageReport.js'
import { decodeSuspectReport } from '../quarantine/decodeSuspectReport.js'
import { decodeLoadReport } from './decodeLoadReport.js'
import { FieldReader } from './fieldReader.js'
import type { PeerMessage } from './peerMessage.js'

/** Tag of the datagram's field with a load report: its number times 8 plus the wire type of a nested message. */
const LOAD_TAG = 10

/** Decodes a datagram from another host. Returns undefined if it isn't a valid message, as anybody can send to the port. */
export function decodeDatagram (bytes: Uint8Array): PeerMessage | undefined {
  try {
    return bytes[0] === LOAD_TAG ? decodeLoad(bytes) : decodeContent(fromBinary(PeerDatagramSchema, bytes).content)
  } catch {
    return undefined
  }
}

/** Decodes a load report. Fields after it, which a later build may send, are ignored. */
const decodeLoad = (bytes: Uint8Array): PeerMessage | undefined => {
  const reader = new FieldReader(bytes)
  reader.readTag()
  const report = decodeLoadReport(reader, reader.readEnd())
  return report === undefined ? undefined : { kind: 'load', report }
}

const decodeContent = (content: PeerDatagram['content']): PeerMessage | undefined => match(content)
  .with({ case: 'use' }, ({ value }) => {
    const report = decodeUsageReport(value)
    return report === undefined ? undefined : { kind: 'use' as const, report }
  })
  .with({ case: 'suspects' }, ({ value }) => {
    const report = decodeSuspectReport(value)
    return report === undefined ? undefined : { kind: 'suspects' as const, report }
  })
  .otherwise(() => undefined)
