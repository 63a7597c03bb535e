/** Adds up failures by their kind. */
export function sumFailures (parts: ReadonlyArray<Record<string, number>>): Record<string, number> {
  const sums: Record<string, number> = {}
  for (const [name, count] of parts.flatMap((part) => Object.entries(part))) sums[name] = (sums[name] ?? 0) + count
  return sums
}
