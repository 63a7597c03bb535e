import { findStatusLine } from './findStatusLine.js'

/** Whether a body holds the head of an answer to the request with this id: the body was cut, and a further answer to the request fills the rest. */
export function hasAnswerTo (body: Buffer, requestId: string): boolean {
  const offset = findStatusLine(body)
  return offset !== undefined && body.includes(requestId, offset, 'latin1')
}
