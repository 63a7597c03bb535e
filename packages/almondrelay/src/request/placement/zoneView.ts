/** Last known state of one service in one availability zone. */
export interface ZoneView {
  availabilityZone: string
  region: string
  /** Free slots: exact for the own zone, as last reported for other zones. */
  freeSlots: number
  /** Total number of slots, free or in use. */
  slots: number
  /** Age of the report, in milliseconds; 0 for the own zone. */
  ageMs: number
  /** The zone takes no new work. */
  draining: boolean
  reachable: boolean
  /** One-way latency, in milliseconds. */
  latencyMs: number
  /** Expected wait for a slot in the zone, in milliseconds, if known. */
  waitMs?: number
}
