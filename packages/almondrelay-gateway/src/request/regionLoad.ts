/** Load and capacity of one region for one service. */
export interface RegionLoad {
  region: string
  /** Slots of the targets in the region that take requests. */
  slots: number
  /** Slots that the requests of the region's own callers would keep busy. */
  busySlots: number
}
