/** State of one service's admission queue. */
export interface AdmissionStatus {
  waiting: number
  running: number
  runningLong: number
  /** Expected cost of the waiting requests, in milliseconds of one slot. */
  waitingCostMs: number
  /** Callers with waiting requests, or whose recent usage is still counted. */
  knownCallers: number
  /** Typical cost of a request, in milliseconds of one slot. */
  typicalCostMs: number
}
