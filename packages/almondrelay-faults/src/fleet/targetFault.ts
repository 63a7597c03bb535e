/** What a fake target does with the requests that reach it. */
const TargetFault = {
  none: 'none',
  /** Nothing listens on its address. */
  refuse: 'refuse',
  /** Takes the request, never runs it and never answers. */
  silent: 'silent',
  /** Runs it; the connection breaks before the answer. */
  loseAnswer: 'lose-answer',
  /** Runs it; the connection breaks in mid-body. */
  breakBody: 'break-body',
  /** Refuses and promises that it didn't run it. */
  shed: 'shed',
  /** Runs it; the answer is longer than allowed. */
  oversize: 'oversize'
} as const

type TargetFault = (typeof TargetFault)[keyof typeof TargetFault]

export { TargetFault }
