import type { AnswerIdentity } from '../../request/answerIdentity.js'

/** An answer that was not passed on, as nothing proves that it belongs to the request that awaited one. */
export interface UnprovedAnswer {
  address: string
  identity: AnswerIdentity
  status: number
  sendId: string
  echoedIds: string[]
}
