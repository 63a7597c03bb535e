/** What a host is told of a target at its start. */
export interface KnownTarget {
  id: string
  region: string
  slots: number
}
