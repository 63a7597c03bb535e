/** Encoded answer to a caller. */
export interface CallerAnswer {
  status: number
  /** Header names and values, alternating. */
  headers: string[]
  body: Buffer
}
