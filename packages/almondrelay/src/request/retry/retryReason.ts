/** Why no further attempt is made; stated in log lines. */
const RetryReason = {
  answered: 'answered',
  mayHaveRun: 'may-have-run',
  tooManyAttempts: 'too-many-attempts',
  noTimeLeft: 'no-time-left',
  budgetSpent: 'budget-spent'
} as const

type RetryReason = (typeof RetryReason)[keyof typeof RetryReason]

export { RetryReason }
