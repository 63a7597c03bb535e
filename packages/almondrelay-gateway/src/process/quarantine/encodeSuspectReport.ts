import { create } from '@bufbuild/protobuf'
import { SuspectReportSchema } from 'almondrelay-protocol'
import { encodeDatagram } from '../peers/encodeDatagram.js'
import type { SuspectReport } from './suspectReport.js'

export function encodeSuspectReport ({ host, incarnation, suspects, passesOn }: SuspectReport): Uint8Array {
  return encodeDatagram({
    case: 'suspects',
    value: create(SuspectReportSchema, {
      host,
      incarnation,
      passesOn,
      suspects: suspects.map(({ fingerprint, organisation, ended, cleared }) => ({ fingerprint, organisation, ended: [...ended], cleared: [...cleared] }))
    })
  })
}
