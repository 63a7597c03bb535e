/** What a check of the link to a target found. */
const LinkVerdict = {
  /** Another host reaches the target, and this one doesn't. */
  lost: 'lost',
  /** This host reaches other targets, and no host that was asked reaches this one. */
  targetDown: 'target-down',
  /** This host may be cut off and no other host could tell. */
  unclear: 'unclear',
  /** The target was reached meanwhile. */
  up: 'up'
} as const

type LinkVerdict = (typeof LinkVerdict)[keyof typeof LinkVerdict]

export { LinkVerdict }
