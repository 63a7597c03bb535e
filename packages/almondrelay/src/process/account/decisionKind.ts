/** The kinds of logged decisions, in the order in which they are made for a request. */
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
