import { loadPattern } from './model/loadPattern.js'
import { runModel } from './model/runModel.js'
import type { RunResult } from './model/runResult.js'
import { ways } from './steering/ways.js'
import type { WayComparison } from './wayComparison.js'

interface CompareOptions {
  pattern: keyof typeof loadPattern
  /** Names of `ways`; the others are compared with the first. */
  names: readonly string[]
  /** Seeds 1 to this number. */
  seeds: number
}

/** Two-sided 95% points of Student's t distribution for 1 to 30 degrees of freedom; beyond, 1.96. */
const T_POINTS = [12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.16, 2.145, 2.131, 2.12, 2.11, 2.101, 2.093, 2.086, 2.08, 2.074, 2.069, 2.064, 2.06, 2.056, 2.052, 2.048, 2.045, 2.042]
const T_LIMIT = 1.96

/** Runs each way over the same seeds; a difference is taken seed by seed, so that the luck of a seed cancels out. */
export function compareWays ({ pattern, names, seeds }: CompareOptions): WayComparison[] {
  const results = names.map((name) => {
    const makeWay = ways[name]
    if (makeWay === undefined) throw new Error(`no way '${name}': use ${Object.keys(ways).join(', ')}`)
    return Array.from({ length: seeds }, (_, index) => runModel({ pattern: loadPattern[pattern], makeWay, seed: index + 1 }))
  })
  const first = results[0] ?? []
  return results.map((runs, index) => {
    const differences = runs.map((run, seed) => computeWorth(run) - computeWorth(first[seed] as RunResult))
    return { name: names[index] as string, ...describeRuns(runs), difference: computeMean(differences), halfWidth: index === 0 ? 0 : computeHalfWidth(differences) }
  })
}

const describeRuns = (runs: readonly RunResult[]): Pick<WayComparison, 'worth' | 'inTime' | 'late' | 'refused' | 'failed'> => {
  const computePart = (count: (run: RunResult) => number): number => computeMean(runs.map((run) => count(run) / run.asked))
  return { worth: computeMean(runs.map(computeWorth)), inTime: computePart((run) => run.inTime), late: computePart((run) => run.late), refused: computePart((run) => run.refused), failed: computePart((run) => run.failed) }
}

const computeWorth = (run: RunResult): number => run.value / run.asked

const computeMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)

const computeHalfWidth = (values: readonly number[]): number => {
  if (values.length < 2) return Infinity
  const mean = computeMean(values)
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / (values.length - 1)
  return (T_POINTS[values.length - 2] ?? T_LIMIT) * Math.sqrt(variance / values.length)
}
