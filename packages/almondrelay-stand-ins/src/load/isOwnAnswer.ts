import { buildTargetAnswer } from '../target/buildTargetAnswer.js'
import type { LoadAnswer } from './loadAnswer.js'
import type { LoadOperation } from './loadOperation.js'

/** Whether an answer is whole and this operation's own. */
export function isOwnAnswer (operation: LoadOperation, answer: LoadAnswer): boolean {
  const expected = buildTargetAnswer({ requestId: answer.id, target: answer.target, requestBody: operation.body, answerBytes: operation.answerBytes })
  return Buffer.compare(Buffer.from(expected), answer.body) === 0
}
