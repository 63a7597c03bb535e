/** Why a target was chosen; for the log line. */
const ChoiceReason = {
  /** The only one that could take it. */
  only: 'only',
  /** The least expected wait of two drawn at random. */
  leastExpectedWait: 'least-expected-wait',
  /** One careful request to a target that had failed, was slow or silent. */
  trial: 'trial'
} as const

type ChoiceReason = (typeof ChoiceReason)[keyof typeof ChoiceReason]

export { ChoiceReason }
