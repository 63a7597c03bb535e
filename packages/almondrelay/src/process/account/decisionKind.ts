/** The decisions that are logged, in the order in which a request meets them. */
const DecisionKind = {
  lookup: 'lookup',
  journal: 'journal',
  placement: 'placement',
  admission: 'admission',
  choice: 'choice',
  forward: 'forward',
  retry: 'retry',
  answer: 'answer'
} as const

type DecisionKind = (typeof DecisionKind)[keyof typeof DecisionKind]

export { DecisionKind }
