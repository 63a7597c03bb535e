/** Evidence that an incarnation has exited; silence is no evidence. */
const GoneEvidence = {
  /** Its address refuses connections, so no process listens there. */
  refused: 'refused',
  /** A report of a newer incarnation was received. */
  newerIncarnation: 'newer-incarnation',
  /** The incarnation announced that it has left. */
  announced: 'announced',
  /** A peer reported that it has the evidence. */
  told: 'told'
} as const

type GoneEvidence = (typeof GoneEvidence)[keyof typeof GoneEvidence]

export { GoneEvidence }
