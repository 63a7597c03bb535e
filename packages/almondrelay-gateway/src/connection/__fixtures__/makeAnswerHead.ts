import type { TargetAnswerHead } from '../../request/targetAnswerHead.js'

/** Makes the head of a target's complete answer for tests. */
export const makeAnswerHead = (head: Partial<TargetAnswerHead> = {}): TargetAnswerHead => ({
  status: 200,
  rawHeaders: [],
  requestId: 'r1',
  isNotRun: false,
  refusesUnread: false,
  isMisdirected: false,
  isGenuine: true,
  keepAliveMs: undefined,
  closesConnection: false,
  load: undefined,
  coldForMs: undefined,
  requestLimit: Infinity,
  isLeaving: false,
  pauseMs: 0,
  ...head
})
