import type { TargetRuns } from '../target/targetRuns.js'
import type { LoadProblem } from './loadProblem.js'
import type { LoadResult } from './loadResult.js'

type CountedTarget = Pick<TargetRuns, 'runs' | 'operations'>

/**
 * Compares what callers were told with what targets counted: a non-idempotent operation runs at
 * most once, over all its ids; nothing that was told `not-run` ran; what was told `run` ran, and
 * an answer with status 200 is byte for byte its own.
 */
export function checkLoad (results: readonly LoadResult[], targets: readonly CountedTarget[]): LoadProblem[] {
  const byOperation = sumCounts(targets.map((target) => target.operations))
  const byId = sumCounts(targets.map((target) => target.runs))
  return results.flatMap((result) => {
    const runs = byOperation.get(String(result.operation.number)) ?? 0
    const idRuns = byId.get(result.answer.id) ?? 0
    return listProblems(result, runs, idRuns).map((message) => ({ operation: result.operation.number, message: `${message} (${describeResult(result)})` }))
  })
}

function listProblems ({ operation, answer, isOwnAnswer }: LoadResult, runs: number, idRuns: number): string[] {
  const problems: string[] = []
  if (!operation.idempotent && runs > 1) problems.push(`ran ${runs} times`)
  if (!operation.idempotent && idRuns > 1) problems.push(`its id ran ${idRuns} times`)
  if (answer.outcome === 'not-run' && runs > 0) problems.push(`was told not-run and ran ${runs} times`)
  if (answer.outcome === 'run' && runs === 0) problems.push('was told run and never ran')
  if (answer.outcome === 'run' && answer.status === 200 && !isOwnAnswer) problems.push('got an answer that is not its own or not whole')
  return problems
}

function describeResult ({ operation, answer }: LoadResult): string {
  return `${operation.method} ${operation.service} id ${answer.id}: ${answer.outcome} ${answer.status} ${answer.reason} target ${answer.target}`
}

function sumCounts (counts: ReadonlyArray<Record<string, number>>): Map<string, number> {
  const sums = new Map<string, number>()
  for (const each of counts) {
    for (const [name, count] of Object.entries(each)) sums.set(name, (sums.get(name) ?? 0) + count)
  }
  return sums
}
