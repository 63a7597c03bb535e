import { RefusalReason } from 'almondrelay'
import type { AttemptResult } from './attemptResult.js'

interface ResultDescription {
  /** Text for people. */
  text: string
  /** Reason code for the account. */
  cause: RefusalReason
}

/** Describes the result of an attempt. */
export function describeResult (result: AttemptResult): ResultDescription {
  if (result.kind === 'not-sent') return { text: `not-sent: ${result.reason}`, cause: RefusalReason.targetUnreachable }
  if (result.kind === 'broken') return { text: `broken: ${result.reason}`, cause: RefusalReason.answerLost }
  const { head } = result
  if (head.isMisdirected) return { text: 'another target has the address', cause: RefusalReason.targetRefused }
  if (head.isNotRun) return { text: `target refused (${head.status})`, cause: RefusalReason.targetRefused }
  return { text: head.isGenuine ? `answered ${head.status}` : `spoilt answer (${head.status})`, cause: RefusalReason.answerBroken }
}
