import type { LoadResult } from 'almondrelay-stand-ins'

/** Answers by outcome. */
export function countOutcomes (results: readonly LoadResult[]): Record<string, number> {
  const counts: Record<string, number> = { run: 0, 'not-run': 0, unknown: 0 }
  for (const { answer } of results) counts[answer.outcome] = (counts[answer.outcome] ?? 0) + 1
  return counts
}
