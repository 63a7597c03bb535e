/** Machine-readable error kinds. */
const ErrorKind = {
  settingsInvalid: 'settings-invalid',
  resourceInvalid: 'resource-invalid',
  resourceConflict: 'resource-conflict',
  resourceMissing: 'resource-missing',
  requestInvalid: 'request-invalid',
  platformUnavailable: 'platform-unavailable',
  writeUnknown: 'write-unknown',
  peerUnavailable: 'peer-unavailable',
  peerRefused: 'peer-refused',
  targetUnavailable: 'target-unavailable',
  answerBroken: 'answer-broken',
  notReady: 'not-ready'
} as const

type ErrorKind = (typeof ErrorKind)[keyof typeof ErrorKind]

export { ErrorKind }
