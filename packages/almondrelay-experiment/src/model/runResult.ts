/** What became of the requests of one run; `value` counts a late answer in part. */
export interface RunResult {
  asked: number
  inTime: number
  late: number
  refused: number
  failed: number
  value: number
}
