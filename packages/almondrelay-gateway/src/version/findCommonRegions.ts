/**
 * Finds the regions that both lists allow, where an empty list allows all regions; undefined where they have none in common. Both
 * lists are binding: a route may be restricted to a country by law, and an organisation by its contract.
 */
export function findCommonRegions (first: readonly string[], second: readonly string[]): readonly string[] | undefined {
  if (first.length === 0) return second
  if (second.length === 0) return first
  const common = first.filter((region) => second.includes(region))
  return common.length === 0 ? undefined : common
}
