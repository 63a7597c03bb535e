/** An answer as it goes out to a caller. */
export interface CallerAnswer {
  status: number
  /** Names and values in turn. */
  headers: string[]
  body: Buffer
}
