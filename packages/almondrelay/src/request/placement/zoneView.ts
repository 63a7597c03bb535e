/** What a host knows of one availability zone and service. */
export interface ZoneView {
  availabilityZone: string
  region: string
  /** Free slots: exact for the own zone, as last reported for others. */
  freeSlots: number
  /** Slots in total, free or not. */
  slots: number
  /** Age of the report, in milliseconds; 0 for the own zone. */
  ageMs: number
  /** It takes no new work. */
  draining: boolean
  reachable: boolean
  /** One way, in milliseconds. */
  latencyMs: number
  /** Expected wait for a slot there, in milliseconds, where known. */
  waitMs?: number
}
