/** What happens to calls from one host to another. */
const LinkFault = {
  none: 'none',
  /** Nothing listens: the process has ended. */
  refuse: 'refuse',
  /** Cut towards the receiver: calls are lost before they arrive. */
  loseRequest: 'lose-request',
  /** Cut towards the sender: calls take effect, their answers are lost. */
  loseAnswer: 'lose-answer',
  /** Calls on the connection in use arrive late, perhaps after it broke; new connections are quick. */
  delayRequest: 'delay-request',
  /** The connection in use is silent for good; new ones work. */
  silentConnection: 'silent-connection'
} as const

type LinkFault = (typeof LinkFault)[keyof typeof LinkFault]

export { LinkFault }
