import { fromBinary } from '@bufbuild/protobuf'
import { PeerDatagramSchema, type PeerDatagram } from 'almondrelay-protocol'
import { match } from 'ts-pattern'
import { decodeTargetLoads } from '../loads/decodeTargetLoads.js'
import { decodeUsageReport } from '../organisations/decodeUsageReport.js'
import { decodeSuspectReport } from '../quarantine/decodeSuspectReport.js'
import { decodeLoadReport } from './decodeLoadReport.js'
import type { PeerMessage } from './peerMessage.js'

/** Decodes a datagram from another host. Returns undefined if it isn't a valid message, as anybody can send to the port. */
export function decodeDatagram (bytes: Uint8Array): PeerMessage | undefined {
  try {
    return decodeContent(fromBinary(PeerDatagramSchema, bytes).content)
  } catch {
    return undefined
  }
}

const decodeContent = (content: PeerDatagram['content']): PeerMessage | undefined => match(content)
  .with({ case: 'load' }, ({ value }) => {
    const report = decodeLoadReport(value)
    return report === undefined ? undefined : { kind: 'load' as const, report }
  })
  .with({ case: 'use' }, ({ value }) => {
    const report = decodeUsageReport(value)
    return report === undefined ? undefined : { kind: 'use' as const, report }
  })
  .with({ case: 'suspects' }, ({ value }) => {
    const report = decodeSuspectReport(value)
    return report === undefined ? undefined : { kind: 'suspects' as const, report }
  })
  .with({ case: 'targetLoads' }, ({ value }) => {
    const report = decodeTargetLoads(value)
    return report === undefined ? undefined : { kind: 'target-loads' as const, report }
  })
  .otherwise(() => undefined)
