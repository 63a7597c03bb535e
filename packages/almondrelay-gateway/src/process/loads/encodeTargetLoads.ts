import { create } from '@bufbuild/protobuf'
import { TargetLoadsSchema } from 'almondrelay-protocol'
import { encodeDatagram } from '../peers/encodeDatagram.js'
import type { TargetLoadReport } from './targetLoadReport.js'

export function encodeTargetLoads ({ host, incarnation, origin, passesOn, forwardTo, statements }: TargetLoadReport): Uint8Array {
  return encodeDatagram({
    case: 'targetLoads',
    value: create(TargetLoadsSchema, {
      host,
      incarnation,
      origin,
      passesOn,
      forwardTo: [...forwardTo],
      targetHashes: statements.map(({ incarnationHash }) => incarnationHash),
      running: statements.map(({ running }) => running),
      waiting: statements.map(({ waiting }) => waiting),
      speedPercent: statements.map(({ speedPercent }) => speedPercent),
      ageMs: statements.map(({ ageMs }) => Math.max(0, Math.round(ageMs)))
    })
  })
}
