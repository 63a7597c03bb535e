import { setTimeout as sleepFor } from 'node:timers/promises'
import type { TargetRuns } from '../target/targetRuns.js'

const STEP_MS = 50
const LIMIT_MS = 15_000

/** Waits until no target runs anything and returns their counts then. */
export async function waitUntilIdle (readRuns: () => Promise<TargetRuns[]>, signal: AbortSignal): Promise<TargetRuns[]> {
  const until = performance.now() + LIMIT_MS
  let runs = await readRuns()
  while (runs.some((each) => each.running > 0) && performance.now() < until) {
    await sleepFor(STEP_MS, undefined, { signal })
    runs = await readRuns()
  }
  return runs
}
