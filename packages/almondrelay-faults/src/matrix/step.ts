/** Steps of everything that the system does, in the order in which they happen. */
const Step = {
  lookup: 'look-up',
  accept: 'request: accept',
  admit: 'request: admit',
  choose: 'request: choose',
  connect: 'request: connect',
  send: 'request: send',
  wait: 'request: wait',
  firstByte: 'request: first byte',
  body: 'request: body',
  answer: 'request: answer',
  repeat: 'request: repeat',
  peerHop: 'peer hop',
  write: 'resource write',
  loan: 'loan',
  drain: 'drain',
  stop: 'planned stop'
} as const

type Step = (typeof Step)[keyof typeof Step]

export { Step }
