const MAX_DISTANCE = 3

/** Finds the known name with the smallest edit distance to `name`; returns undefined when none is similar enough. */
export function findNearestName (name: string, known: readonly string[]): string | undefined {
  const ranked = known
    .map((candidate) => ({ candidate, distance: countEdits(name.toLowerCase(), candidate.toLowerCase()) }))
    .sort((left, right) => left.distance - right.distance)
  const nearest = ranked[0]
  const limit = Math.min(MAX_DISTANCE, Math.ceil(name.length / 2))
  return nearest !== undefined && nearest.distance <= limit ? nearest.candidate : undefined
}

// Computes the Levenshtein distance row by row.
const countEdits = (left: string, right: string): number => {
  let row = Array.from({ length: right.length + 1 }, (_, index) => index)
  for (let i = 1; i <= left.length; i += 1) {
    const next = [i]
    for (let j = 1; j <= right.length; j += 1) {
      const replaced = (row[j - 1] ?? 0) + (left[i - 1] === right[j - 1] ? 0 : 1)
      next.push(Math.min(replaced, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1))
    }
    row = next
  }
  return row[right.length] ?? 0
}
