/** What a measured figure comes to at the target size. */
export interface CapacityProduct {
  what: string
  value: number
  unit: string
  /** Where the brief or the platform sets one. */
  limit?: number
}
