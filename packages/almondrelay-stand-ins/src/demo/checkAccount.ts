import type { AccountRow } from 'almondrelay'
import type { LoadResult } from '../load/loadResult.js'

/**
 * Compares the account with what callers were told: of every service the account must hold as many
 * requests `run`. A caller that asks again after a refusal is counted at each time, so the account
 * may hold more refusals than callers were told at last, never fewer.
 */
export function checkAccount (rows: readonly AccountRow[], results: readonly LoadResult[]): string[] {
  const services = [...new Set(results.map((result) => result.operation.service))].sort()
  return services.flatMap((service) => {
    const countTold = (outcome: string): number => results.filter((result) => result.operation.service === service && result.answer.outcome === outcome).length
    const countAccount = (outcome: string): number => rows.filter((row) => row.service === service && row.outcome === outcome).reduce((sum, row) => sum + row.count, 0)
    const problems: string[] = []
    if (countAccount('run') !== countTold('run')) problems.push(`the account holds ${countAccount('run')} ${service} requests run, callers were told ${countTold('run')}`)
    if (countAccount('not-run') < countTold('not-run')) problems.push(`the account holds ${countAccount('not-run')} ${service} requests not run, callers were told ${countTold('not-run')}`)
    return problems
  })
}
