/** Load and room of one region for one service. */
export interface RegionLoad {
  region: string
  /** Slots of the targets that take requests there. */
  slots: number
  /** Slots that the requests of the region's own callers would keep busy. */
  busySlots: number
}
