import { countBy } from './countBy.js'
import { formatTable } from './formatTable.js'
import type { LoadResult } from './loadResult.js'

/** Tables of who got what by caller, service, region and target, and of what was refused and why. */
export function summarizeLoad (results: readonly LoadResult[]): string {
  const runs = results.filter((result) => result.answer.outcome === 'run')
  const others = results.filter((result) => result.answer.outcome !== 'run')
  return [
    formatOutcomes('caller', results, (result) => result.operation.caller),
    formatOutcomes('service', results, (result) => result.operation.service),
    formatOutcomes('region of the caller', results, (result) => result.operation.region),
    formatCounts('run by target', runs, (result) => result.answer.target),
    formatCounts('not run or unknown, and why', others, (result) => `${result.operation.service}: ${result.answer.outcome} ${result.answer.reason}`)
  ].join('\n\n')
}

function formatOutcomes (title: string, results: readonly LoadResult[], describe: (result: LoadResult) => string): string {
  const names = [...countBy(results, describe)]
  const countOutcome = (name: string, outcome: string): number => results.filter((result) => describe(result) === name && result.answer.outcome === outcome).length
  const rows = names.map(([name, count]) => [name, count, countOutcome(name, 'run'), countOutcome(name, 'not-run'), countOutcome(name, 'unknown')])
  return formatTable([[title, 'sent', 'run', 'not-run', 'unknown'], ...rows])
}

function formatCounts (title: string, results: readonly LoadResult[], describe: (result: LoadResult) => string): string {
  const rows = [...countBy(results, describe)]
  return formatTable([[title, 'count'], ...(rows.length === 0 ? [['none', 0]] : rows)])
}
