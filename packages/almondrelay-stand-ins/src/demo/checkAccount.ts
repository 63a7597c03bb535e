import type { AccountRow } from 'almondrelay'
import type { LoadResult } from '../load/loadResult.js'

/**
 * Compares the account with what callers were told, by service. A request whose caller gave up at
 * its deadline is `unknown` to the caller and may be `run` in the account. A caller that asks again
 * after a refusal is counted at each time, so the account may hold more refusals than callers were
 * told at last, and says nothing of one that no host was asked for.
 */
export function checkAccount (rows: readonly AccountRow[], results: readonly LoadResult[]): string[] {
  const services = [...new Set(results.map((result) => result.operation.service))].sort()
  return services.flatMap((service) => {
    const countTold = (outcome: string): number => results.filter((result) => result.operation.service === service && result.answer.outcome === outcome).length
    const countAccount = (outcome: string): number => rows.filter((row) => row.service === service && row.outcome === outcome).reduce((sum, row) => sum + row.count, 0)
    const problems: string[] = []
    const least = countTold('run')
    const most = least + countTold('unknown')
    if (countAccount('run') < least || countAccount('run') > most) problems.push(`the account holds ${countAccount('run')} ${service} requests run, callers were told ${least}, and unknown of ${countTold('unknown')}`)
    return problems
  })
}
