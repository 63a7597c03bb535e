import type { TargetAnswerHead } from './targetAnswerHead.js'

/** Whether an answer that another host took for that of a request belongs to it: it names the id, or it is the one refusal that names none. */
export function isAnswerTo ({ requestId, refusesUnread }: TargetAnswerHead, id: string): boolean {
  return requestId === id || refusesUnread
}
