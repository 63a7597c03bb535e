/** What shows, or fails to show, that an answer belongs to the request that awaits one. */
export const AnswerIdentity = {
  /** It echoes the request's send id. */
  echoed: 'echoed',
  /** It proves nothing itself, but only one request was sent on its connection. */
  onlyRequest: 'only-request',
  /** It echoes no id, and other requests were sent on its connection before. */
  noId: 'no-id',
  otherId: 'other-id',
  severalIds: 'several-ids',
  /** Its head holds the start of another answer. */
  mixedHead: 'mixed-head'
} as const

export type AnswerIdentity = typeof AnswerIdentity[keyof typeof AnswerIdentity]
