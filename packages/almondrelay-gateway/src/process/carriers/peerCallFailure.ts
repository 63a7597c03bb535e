/** Why a call to another host brought no answer. */
const PeerCallFailure = {
  /** Nothing of the call was written. */
  notSent: 'not sent',
  /** The other host refused the call before it did anything. */
  refused: 'refused',
  /** The call was written and no whole answer came: the other host may have acted on it. */
  answerLost: 'answer lost'
} as const

type PeerCallFailure = (typeof PeerCallFailure)[keyof typeof PeerCallFailure]

export { PeerCallFailure }
