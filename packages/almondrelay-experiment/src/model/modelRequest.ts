/** One try of a caller. */
export interface ModelRequest {
  key: number
  /** Region of the caller and of the host that it uses. */
  region: string
  /** Virtual milliseconds. */
  arrivedAt: number
  deadline: number
}
