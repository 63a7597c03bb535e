/**
 * The regions that two lists allow, where an empty list allows any; undefined where they have none in common. Both bind: a
 * route may be kept in a country by law, and an organisation by its contract.
 */
export function findCommonRegions (first: readonly string[], second: readonly string[]): readonly string[] | undefined {
  if (first.length === 0) return second
  if (second.length === 0) return first
  const common = first.filter((region) => second.includes(region))
  return common.length === 0 ? undefined : common
}
