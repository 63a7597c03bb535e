/** Input for one step of a drain or shift. */
export interface PacingInput {
  /** Share of the source's work, 0 to 1, that is to be moved; 1 for a drain. */
  wantedShare: number
  /** Requests in flight at the current load of the whole source, wherever they run. */
  demand: number
  /** Requests that still run on the source. */
  running: number
  /** Further requests that the receivers can run now: what their ramps allow, less the running requests. */
  receiversHeadroom: number
  /** Total requests in flight that the caps between source and receivers allow; undefined if there is no cap. */
  cap?: number
}
