import { Command } from 'commander'
import { fetchQuarantine } from '../client/fetchQuarantine.js'
import type { QuarantinedRequest } from '../client/quarantinedRequest.js'
import type { Terminal } from '../common/terminal.js'
import { formatTable } from '../output/formatTable.js'
import { OutputFormat } from '../output/outputFormat.js'
import { addOperatorOptions } from './addOperatorOptions.js'
import { createClient } from './createClient.js'
import { formatExample } from './formatExample.js'
import type { OperatorOptions } from './operatorOptions.js'

/** `almondrelay quarantine`: shows the requests that were running when targets exited. */
export function createQuarantineCommand (terminal: Terminal): Command {
  return addOperatorOptions(new Command('quarantine'))
    .description('Show the requests that were running when targets exited, and which of them are quarantined.')
    .addHelpText('after', formatExample('almondrelay quarantine --operator 10.1.1.11:8082'))
    .action(async (options: OperatorOptions) => {
      const requests = await fetchQuarantine(createClient(terminal, options.operator))
      terminal.writeLine(options.output === OutputFormat.json ? JSON.stringify(requests, undefined, 2) : formatRequests(requests))
    })
}

const formatRequests = (requests: readonly QuarantinedRequest[]): string => requests.length === 0
  ? 'no request under which targets ended'
  : formatTable(['fingerprint', 'organisation', 'ends', 'state', 'trials', 'next trial ms'], requests.map(({ fingerprint, organisation, ends, isQuarantined, trials, nextTrialMs }) =>
    [fingerprint, organisation, ends, isQuarantined ? 'quarantined' : 'suspected', trials, nextTrialMs ?? '']))
