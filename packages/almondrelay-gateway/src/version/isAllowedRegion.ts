/**
 * Whether a request may run in a region or pass through it.
 *
 * @param allowedRegions empty where all regions are allowed
 */
export function isAllowedRegion (region: string, allowedRegions: readonly string[]): boolean {
  return allowedRegions.length === 0 || allowedRegions.includes(region)
}
