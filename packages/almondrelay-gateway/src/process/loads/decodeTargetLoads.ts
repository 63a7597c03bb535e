import type { TargetLoads as Message } from 'almondrelay-protocol'
import { MAX_STATEMENTS } from './maxStatements.js'
import type { TargetLoadReport } from './targetLoadReport.js'

/** Maximum length of a host's name in characters; no host sends a longer one. */
const MAX_NAME_LENGTH = 200
/** Maximum number of hosts to which a report is to be forwarded: twice the largest group. */
const MAX_FORWARDS = 16
/** Bounds of the figures; no target states more requests, and older statements aren't sent. */
const MAX_REQUESTS = 1_000_000
const MAX_SPEED_PERCENT = 10_000
const MAX_AGE_MS = 60_000

/** Decodes a report of targets' loads. Returns undefined if no host can have sent it, because anybody may send to the port. */
export function decodeTargetLoads ({ host, incarnation, origin, passesOn, forwardTo, targetHashes, running, waiting, speedPercent, ageMs }: Message): TargetLoadReport | undefined {
  if (host.length === 0 || host.length > MAX_NAME_LENGTH || incarnation.length > MAX_NAME_LENGTH || forwardTo.length > MAX_FORWARDS) return undefined
  if (targetHashes.length > MAX_STATEMENTS || [running, waiting, speedPercent, ageMs].some(({ length }) => length !== targetHashes.length)) return undefined
  const statements = targetHashes.map((incarnationHash, index) => ({ incarnationHash, running: running[index] as number, waiting: waiting[index] as number, speedPercent: speedPercent[index] as number, ageMs: ageMs[index] as number }))
  return statements.every(isValid) ? { host, incarnation, origin, passesOn, forwardTo, statements } : undefined
}

const isValid = ({ running, waiting, speedPercent, ageMs }: TargetLoadReport['statements'][number]): boolean =>
  running <= MAX_REQUESTS && waiting <= MAX_REQUESTS && speedPercent > 0 && speedPercent <= MAX_SPEED_PERCENT && ageMs <= MAX_AGE_MS
