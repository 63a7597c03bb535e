/** Load of one service at a host, as the owner of its targets last counted it. */
export interface ServiceLoad {
  service: string
  freeSlots: number
  running: number
}
