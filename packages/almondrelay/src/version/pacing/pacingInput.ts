/** What one step of a drain or shift is computed from. */
export interface PacingInput {
  /** Share of the source's work, 0 to 1, that is wanted elsewhere; 1 for a drain. */
  wantedShare: number
  /** Requests in flight that the whole source has at present load, wherever they run. */
  demand: number
  /** Requests in flight that still run on the source. */
  running: number
  /** Requests more that the receivers can run now: what their ramps allow, less what runs. */
  receiversHeadroom: number
  /** Requests in flight that the caps on the way allow in all; absent where there is none. */
  cap?: number
}
