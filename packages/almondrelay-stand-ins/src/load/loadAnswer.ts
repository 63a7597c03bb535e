/** What a caller was told of one operation. */
export interface LoadAnswer {
  outcome: 'run' | 'not-run' | 'unknown'
  status: number
  /** Empty where none was given. */
  reason: string
  /** The last id that the operation was sent under. */
  id: string
  /** Empty where none was named. */
  target: string
  body: Uint8Array
}
