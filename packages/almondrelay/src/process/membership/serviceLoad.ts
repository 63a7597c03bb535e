/** Load of one service at a host, as last counted by the host that owns its targets. */
export interface ServiceLoad {
  service: string
  freeSlots: number
  running: number
}
