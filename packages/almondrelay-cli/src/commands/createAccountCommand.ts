import { Command, InvalidArgumentError, Option } from 'commander'
import { accountDimensions, findNearestName, type AccountDimension } from 'almondrelay'
import { AccountFormat } from '../account/accountFormat.js'
import { describeGaps } from '../account/describeGaps.js'
import { fetchAccount } from '../account/fetchAccount.js'
import { formatAccount } from '../account/formatAccount.js'
import { parseTime } from '../account/parseTime.js'
import { summarizeAccount } from '../account/summarizeAccount.js'
import type { Terminal } from '../common/terminal.js'
import { createClient } from './createClient.js'
import { formatExample } from './formatExample.js'

interface AccountOptions {
  operator?: string[]
  output: AccountFormat
  since?: number
  until?: number
  by: AccountDimension[]
  caller?: string
  service?: string
}

const DEFAULT_SPAN_MS = 3_600_000
const DEFAULT_BY: AccountDimension[] = ['caller', 'service', 'outcome', 'reason']

/** `almondrelay account`: counts of requests by caller, service, outcome and other dimensions. */
export function createAccountCommand (terminal: Terminal): Command {
  return new Command('account')
    .description('Show counts of requests by caller, service, target, region, outcome and reason, summed over all hosts. Known gaps are listed.')
    .option('--since <time>', 'first minute: ISO 8601, or how long ago, such as 90m, 24h or 7d (default: an hour before --until)', (text) => parseTime(text, Date.now()))
    .option('--until <time>', 'last minute, in the same formats (default: now)', (text) => parseTime(text, Date.now()))
    .option('--by <dimensions>', `dimensions to group by, separated by commas: ${accountDimensions.join(', ')}`, parseDimensions, DEFAULT_BY)
    .option('--caller <name>', 'only this caller')
    .option('--service <name>', 'only this service')
    .option('--operator <ip:port...>', 'operator ports of hosts (or ALMONDRELAY_OPERATOR, separated by commas)')
    .addOption(new Option('--output <format>', 'table for people, json or csv for programs').choices(Object.values(AccountFormat)).default(AccountFormat.table))
    .addHelpText('after', formatExample('almondrelay account --since 24h --by caller,outcome --operator 10.1.1.11:8082', 'almondrelay account --since 2026-03-04T00:00Z --until 2026-03-05T00:00Z --caller kowhai --output csv'))
    .action(async (options: AccountOptions) => {
      const until = options.until ?? Date.now()
      const report = await fetchAccount(createClient(terminal, options.operator), options.since ?? until - DEFAULT_SPAN_MS, until)
      const only = { ...(options.caller === undefined ? {} : { caller: options.caller }), ...(options.service === undefined ? {} : { service: options.service }) }
      const query = { by: options.by, only }
      terminal.writeLine(formatAccount(report, summarizeAccount(report, query), query, options.output))
      if (options.output === AccountFormat.csv) describeGaps(report).forEach(terminal.writeError)
    })
}

const parseDimensions = (text: string): AccountDimension[] => text.split(',').map((name) => {
  const found = accountDimensions.find((dimension) => dimension === name)
  if (found !== undefined) return found
  const nearest = findNearestName(name, accountDimensions)
  throw new InvalidArgumentError(nearest === undefined ? `Use one or more of ${accountDimensions.join(', ')}.` : `'${name}' is unknown: write ${nearest}.`)
})
