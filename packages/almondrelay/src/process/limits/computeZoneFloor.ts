/**
 * The part of a limit that an availability zone may use whatever happens: half of the limit, rounded up,
 * spread over the zones, the first ones taking what doesn't divide. The other half is the lender's.
 * Both grow with the limit, so a share granted under a smaller limit never passes a larger one.
 */
export function computeZoneFloor (limit: number, zones: readonly string[], availabilityZone: string): number {
  const index = [...zones].sort().indexOf(availabilityZone)
  if (index < 0) return 0
  const floors = Math.ceil(limit / 2)
  return Math.floor(floors / zones.length) + (index < floors % zones.length ? 1 : 0)
}
