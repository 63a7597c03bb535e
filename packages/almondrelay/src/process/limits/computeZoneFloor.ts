/**
 * Computes the floor of an availability zone: the share of a limit that the zone may use without a loan.
 * The floors together are half of the limit, rounded up, divided evenly over the zones in order of their names;
 * the remainder of the division goes to the first zones, one each. The other half is lent by the region's lender.
 * Floors and the lent half never shrink as the limit grows, so capacity granted under a smaller limit never exceeds a larger one.
 */
export function computeZoneFloor (limit: number, zones: readonly string[], availabilityZone: string): number {
  const index = [...zones].sort().indexOf(availabilityZone)
  if (index < 0) return 0
  const floorTotal = Math.ceil(limit / 2)
  return Math.floor(floorTotal / zones.length) + (index < floorTotal % zones.length ? 1 : 0)
}
