/** One answer that a target writes in a test, sound or not. */
export interface PlannedAnswer {
  /** Request that the target answers, counted back from the newest on the connection: 0 is the newest. */
  back: number
  /** What the answer names: its request, nothing, an id that was never sent, its id in other letters, or two ids in either order. */
  label: 'own' | 'none' | 'unknown' | 'letters' | 'own-and-other' | 'other-and-own'
  status: number
  isNotRun: boolean
  framing: 'length' | 'chunks' | 'chunks-and-trailer' | 'none'
  /** Parts of the body; the fields of the request's own id, of an earlier one and of the next one are filled in. */
  body: readonly string[]
  interim: readonly number[]
  /** Empty lines before the answer. */
  emptyLines: number
  /** Whether the id stands behind all other headers. */
  isIdLast: boolean
  /** Share of the answer's bytes that is written; 1 for all. */
  share: number
  keepAliveMs: number | undefined
  closes: boolean
}
