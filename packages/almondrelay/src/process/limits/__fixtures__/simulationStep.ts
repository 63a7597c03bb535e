/** One step of a simulation run: a fault or the end of one, followed by some time. */
export interface SimulationStep {
  kind: 'none' | 'pause' | 'cut' | 'kill' | 'join' | 'platformDown' | 'platformUp' | 'mend'
  /** Index of the host concerned, modulo the number of live ones. */
  host: number
  other: number
  /** Length of a pause or a cut, in milliseconds of real time. */
  faultMs: number
  /** Real time that passes after the fault, in milliseconds. */
  ms: number
}
