import { Command } from 'commander'
import { z } from 'zod'
import { AlmondrelayError, ErrorKind } from 'almondrelay'
import { fetchStatus } from '../client/fetchStatus.js'
import { OperatorClient } from '../client/operatorClient.js'
import { parseAnswer } from '../client/parseAnswer.js'
import type { Terminal } from '../common/terminal.js'
import { formatTable } from '../output/formatTable.js'
import { OutputFormat } from '../output/outputFormat.js'
import { addOperatorOptions } from './addOperatorOptions.js'
import { createClient } from './createClient.js'
import { formatExample } from './formatExample.js'
import type { OperatorOptions } from './operatorOptions.js'

interface LookupOptions extends OperatorOptions {
  service: string
  from?: string
  entry?: string
}

const LookupAnswer = z.looseObject({
  revision: z.number(),
  ttlMs: z.number(),
  hosts: z.array(z.looseObject({ name: z.string(), incarnation: z.number(), address: z.string(), region: z.string(), availabilityZone: z.string(), weight: z.number() }))
})

/** `almondrelay lookup`: shows the entry hosts that a look-up would return to a caller. */
export function createLookupCommand (terminal: Terminal): Command {
  return addOperatorOptions(new Command('lookup'))
    .description('Show the entry hosts that a look-up returns to a caller of a service.')
    .requiredOption('--service <name>', 'service that the caller looks up')
    .option('--from <ip>', 'IP address of the caller')
    .option('--entry <ip:port>', 'caller port of a host (default: that of the host given with --operator)')
    .addHelpText('after', formatExample('almondrelay lookup --service balances --from 10.9.1.4 --entry 10.1.1.11:8080'))
    .action(async (options: LookupOptions) => {
      const client = new OperatorClient([await findEntry(terminal, options)], terminal.signal)
      const query = new URLSearchParams({ service: options.service, ...(options.from === undefined ? {} : { from: options.from }) })
      const answer = parseAnswer(await client.sendIdempotent({ method: 'GET', path: `/v1/lookup?${query.toString()}` }), LookupAnswer, `look-up of ${options.service}`)
      terminal.writeLine(options.output === OutputFormat.json ? JSON.stringify(answer, undefined, 2) : formatAnswer(answer))
    })
}

const findEntry = async (terminal: Terminal, options: LookupOptions): Promise<string> => {
  if (options.entry !== undefined) return options.entry
  const status = await fetchStatus(createClient(terminal, options.operator))
  if (status.host.callerAddress !== '') return status.host.callerAddress
  throw new AlmondrelayError({ kind: ErrorKind.requestInvalid, message: `${status.host.host} does not report the address of its caller port`, remedy: 'name it with --entry <ip:port>' })
}

const formatAnswer = (answer: z.output<typeof LookupAnswer>): string => [
  `revision ${answer.revision}, may be cached for ${answer.ttlMs} ms`,
  formatTable(['host', 'address', 'region', 'availability zone', 'weight'], answer.hosts.map((host) => [host.name, host.address, host.region, host.availabilityZone, host.weight.toFixed(3)]))
].join('\n')
