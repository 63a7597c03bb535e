/** One step of a model run: a fault or its end, and then some time. */
export interface WorldStep {
  kind: 'none' | 'pause' | 'cut' | 'kill' | 'join' | 'platformDown' | 'platformUp' | 'mend'
  /** Index of the host concerned, modulo the number of live ones. */
  host: number
  other: number
  /** Length of a pause or a cut, in milliseconds of real time. */
  faultMs: number
  /** Real time that passes after it, in milliseconds. */
  ms: number
}
