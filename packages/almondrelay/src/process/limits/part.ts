/** Something that at most one host of an availability zone may hold at a time. */
export interface Part {
  id: string
  /** What hosts are ranked by. */
  key: string
  /** Place in that ranking of the host that is to hold it, from 0; the last host where there are fewer. */
  rank: number
  /** Longest time in milliseconds for which a lost holder's work or grants may go on after its loss. */
  waitMs: number
}
