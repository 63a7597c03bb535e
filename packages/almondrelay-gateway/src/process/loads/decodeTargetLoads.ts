import { loadBounds } from '../../request/loadBounds.js'
import type { FieldReader } from '../peers/fieldReader.js'
import { isValidName } from '../peers/isValidName.js'
import { MAX_STATEMENTS } from './maxStatements.js'
import type { TargetLoadReport } from './targetLoadReport.js'

/** Maximum length of an incarnation in characters; no host sends a longer one. */
const MAX_INCARNATION_LENGTH = 200
/** Maximum number of hosts to which a report is to be forwarded: twice the largest group. */
const MAX_FORWARDS = 16
/** Maximum age of a statement; older ones aren't sent. */
const MAX_AGE_MS = 60_000

/**
 * Decodes a report of targets' loads. Returns undefined if no host can have sent it, because anybody may send to the port.
 *
 * The fields of the message TargetLoads are read one by one, like those of a load report, because an aggregator receives more than a
 * hundred of these reports a second. Each case is a field's tag, its number times 8 plus its wire type.
 *
 * @param end position after the last byte of the message
 * @throws Error if the bytes are no protobuf message
 */
export function decodeTargetLoads (reader: FieldReader, end: number): TargetLoadReport | undefined {
  let host = ''
  let incarnation = ''
  let origin = 0
  let passesOn = false
  const forwardTo: number[] = []
  const targetHashes: number[] = []
  const running: number[] = []
  const waiting: number[] = []
  const speedPercent: number[] = []
  const ageMs: number[] = []
  while (reader.hasMore(end)) {
    const tag = reader.readTag()
    switch (tag) {
      case 10: host = reader.readText(); break
      case 18: incarnation = reader.readText(); break
      case 29: origin = reader.readFixed32(); break
      case 32: passesOn = reader.readBoolean(); break
      case 42: reader.readPackedFixed32(forwardTo); break
      case 45: forwardTo.push(reader.readFixed32()); break
      case 50: reader.readPackedFixed32(targetHashes); break
      case 53: targetHashes.push(reader.readFixed32()); break
      case 58: reader.readPackedUint32(running); break
      case 56: running.push(reader.readUint32()); break
      case 66: reader.readPackedUint32(waiting); break
      case 64: waiting.push(reader.readUint32()); break
      case 74: reader.readPackedUint32(speedPercent); break
      case 72: speedPercent.push(reader.readUint32()); break
      case 82: reader.readPackedUint32(ageMs); break
      case 80: ageMs.push(reader.readUint32()); break
      default: reader.ignoreField(tag)
    }
  }
  if (!isValidName(host) || incarnation.length > MAX_INCARNATION_LENGTH || forwardTo.length > MAX_FORWARDS) return undefined
  if (targetHashes.length > MAX_STATEMENTS || [running, waiting, speedPercent, ageMs].some(({ length }) => length !== targetHashes.length)) return undefined
  const statements = targetHashes.map((incarnationHash, index) => ({ incarnationHash, running: running[index] as number, waiting: waiting[index] as number, speedPercent: speedPercent[index] as number, ageMs: ageMs[index] as number }))
  return statements.every(isValid) ? { host, incarnation, origin, passesOn, forwardTo, statements } : undefined
}

const isValid = ({ running, waiting, speedPercent, ageMs }: TargetLoadReport['statements'][number]): boolean =>
  running <= loadBounds.maxRequests && waiting <= loadBounds.maxRequests && speedPercent > 0 && speedPercent <= loadBounds.maxSpeedPercent && ageMs <= MAX_AGE_MS
