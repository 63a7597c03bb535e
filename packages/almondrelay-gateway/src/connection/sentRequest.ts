/** What a connection keeps of a request that was sent on it, to recognise its answers. */
export interface SentRequest {
  id: string
  /** Its answers have no body, whatever length they state. */
  isHead: boolean
}
