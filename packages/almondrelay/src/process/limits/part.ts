/** A unit of capacity (a target's floor or rest, or the zone's share of a limit) that at most one host of an availability zone may hold at a time. */
export interface Part {
  id: string
  /** Key by which hosts are ranked for the part. */
  key: string
  /** Rank, from 0, of the host that is to hold the part; the last host where there are fewer. */
  rank: number
  /** Maximum time in milliseconds for which a lost holder's work or grants may continue after its loss. */
  waitMs: number
}
