/** Why a request was not run, or why its outcome is unknown. */
const RefusalReason = {
  unknownService: 'unknown-service',
  invalidHeader: 'invalid-header',
  unidentified: 'unidentified',
  overAllowance: 'over-allowance',
  noCommonRegion: 'no-common-region',
  missingId: 'missing-id',
  missingHome: 'missing-home',
  idReused: 'id-reused',
  bodyTooLarge: 'body-too-large',
  notReady: 'not-ready',
  leaving: 'leaving',
  hostOverloaded: 'host-overloaded',
  quarantined: 'quarantined',
  queueFull: 'queue-full',
  targetLimited: 'target-limited',
  overFairShare: 'over-fair-share',
  overShare: 'over-share',
  deadlineUnreachable: 'deadline-unreachable',
  deadlinePassed: 'deadline-passed',
  cancelled: 'cancelled',
  noTarget: 'no-target',
  noCredit: 'no-credit',
  regionFull: 'region-full',
  linkFull: 'link-full',
  shiftCapFull: 'shift-cap-full',
  journalFull: 'journal-full',
  idExpired: 'id-expired',
  homeGone: 'home-gone',
  homeUnreachable: 'home-unreachable',
  fenced: 'fenced',
  targetRefused: 'target-refused',
  targetUnreachable: 'target-unreachable',
  answerBroken: 'answer-broken',
  answerTooLarge: 'answer-too-large',
  answerLost: 'answer-lost'
} as const

type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason]

export { RefusalReason }
