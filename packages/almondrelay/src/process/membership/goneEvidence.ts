/** What shows that an incarnation has ended; silence is none of these. */
const GoneEvidence = {
  /** Its address refuses connections, so no process listens there. */
  refused: 'refused',
  /** A newer incarnation of it speaks. */
  newerIncarnation: 'newer-incarnation',
  /** It said that it has left. */
  announced: 'announced',
  /** Another host has the evidence. */
  told: 'told'
} as const

type GoneEvidence = (typeof GoneEvidence)[keyof typeof GoneEvidence]

export { GoneEvidence }
