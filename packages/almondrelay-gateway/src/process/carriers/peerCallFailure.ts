/** Why a call to another host brought no answer. */
const PeerCallFailure = {
  /** Nothing of the call's message was written. */
  notSent: 'not sent',
  /** The other host didn't acknowledge the call in time, and nothing of its message was written. */
  unacknowledged: 'not acknowledged',
  /** The other host refused the call before it did anything. */
  refused: 'refused',
  /** The call was written and no whole answer came: the other host may have acted on it. */
  answerLost: 'answer lost'
} as const

type PeerCallFailure = (typeof PeerCallFailure)[keyof typeof PeerCallFailure]

export { PeerCallFailure }
