import { writeFile } from 'node:fs/promises'
import { Command } from 'commander'
import { AlmondrelayError, ErrorKind, ResourceKind, resourceSpecs } from 'almondrelay'
import { fetchAccount } from '../account/fetchAccount.js'
import { parseTime } from '../account/parseTime.js'
import { fetchResources } from '../client/fetchResources.js'
import type { OperatorClient } from '../client/operatorClient.js'
import type { Terminal } from '../common/terminal.js'
import { renderReport } from '../report/renderReport.js'
import type { ReportData } from '../report/reportData.js'
import { createClient } from './createClient.js'
import { formatExample } from './formatExample.js'

interface ReportOptions {
  operator?: string[]
  output: string
  since?: number
  until?: number
}

const DEFAULT_SPAN_MS = 86_400_000

/** `almondrelay report`: writes the account as an HTML page with charts. */
export function createReportCommand (terminal: Terminal): Command {
  return new Command('report')
    .description('Write the account as an HTML page with charts: load by region against its capacity, refusals by reason, shifts against their caps.')
    .requiredOption('--output <file>', 'HTML file to write')
    .option('--since <time>', 'first minute: ISO 8601, or how long ago, such as 90m, 24h or 7d (default: a day before --until)', (text) => parseTime(text, Date.now()))
    .option('--until <time>', 'last minute, in the same formats (default: now)', (text) => parseTime(text, Date.now()))
    .option('--operator <ip:port...>', 'operator ports of hosts (or ALMONDRELAY_OPERATOR, separated by commas)')
    .addHelpText('after', formatExample('almondrelay report --since 24h --output yesterday.html --operator 10.1.1.11:8082'))
    .action(async (options: ReportOptions) => {
      const until = options.until ?? Date.now()
      const data = await fetchData(createClient(terminal, options.operator), options.since ?? until - DEFAULT_SPAN_MS, until)
      const page = await renderReport(data)
      await writeFile(options.output, page).catch((error: Error) => {
        throw new AlmondrelayError({ kind: ErrorKind.requestInvalid, message: `${options.output} can't be written (${error.message})`, remedy: 'name a file in a folder that you can write to', cause: error })
      })
      terminal.writeLine(`${options.output}: ${page.length} bytes, from ${data.account.pages} pages`)
    })
}

const fetchData = async (client: OperatorClient, since: number, until: number): Promise<ReportData> => {
  const [account, regions, shiftCaps] = await Promise.all([
    fetchAccount(client, since, until),
    fetchResources(client, ResourceKind.region),
    fetchResources(client, ResourceKind.shiftCap)
  ])
  return {
    account,
    regions: regions.map(({ name, spec }) => ({ name, maxInFlight: resourceSpecs.Region.parse(spec).maxInFlight })),
    shiftCaps: shiftCaps.map(({ name, spec }) => {
      const { from, to, service, maxInFlight } = resourceSpecs.ShiftCap.parse(spec)
      return { name, from, to, maxInFlight, ...(service === undefined ? {} : { service }) }
    })
  }
}
