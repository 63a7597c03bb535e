/** What a host's status says of one service's queue. */
export interface AdmissionStatus {
  waiting: number
  running: number
  runningLong: number
  /** Expected work that waits, in milliseconds of one slot. */
  waitingCostMs: number
  /** Callers that wait or whose recent use is remembered. */
  knownCallers: number
  /** Typical cost of a request, in milliseconds of one slot. */
  typicalCostMs: number
}
