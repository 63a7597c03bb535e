/** Answer to a GET request for readiness, a look-up or metrics. */
export interface PlainAnswer {
  status: number
  type: string
  body: string
}
