/** Why a target was chosen; stated in log lines. */
const ChoiceReason = {
  /** It was the only target that could take the request. */
  only: 'only',
  /** It had the lower expected wait of two targets drawn at random. */
  leastExpectedWait: 'least-expected-wait',
  /** A single trial request to a target that had failed, was slow or did not answer. */
  trial: 'trial'
} as const

type ChoiceReason = (typeof ChoiceReason)[keyof typeof ChoiceReason]

export { ChoiceReason }
