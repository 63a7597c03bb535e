/** Whether a request may pass through a region. @param allowedRegions empty where all regions are allowed */
export function isAllowedRegion (region: string, allowedRegions: readonly string[]): boolean {
  return allowedRegions.length === 0 || allowedRegions.includes(region)
}
