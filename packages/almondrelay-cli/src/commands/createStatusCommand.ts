import { Command } from 'commander'
import { fetchStatus } from '../client/fetchStatus.js'
import type { Terminal } from '../common/terminal.js'
import { formatStatus } from '../output/formatStatus.js'
import { OutputFormat } from '../output/outputFormat.js'
import { addOperatorOptions } from './addOperatorOptions.js'
import { createClient } from './createClient.js'
import { formatExample } from './formatExample.js'
import type { OperatorOptions } from './operatorOptions.js'

/** `almondrelay status`: shows hosts, revisions in force, drains and caps. */
export function createStatusCommand (terminal: Terminal): Command {
  return addOperatorOptions(new Command('status'))
    .description('Show hosts, the revision in force by availability zone, drains with the requests left, caps with the requests in flight, and unreachable hosts.')
    .addHelpText('after', formatExample('almondrelay status --operator 10.1.1.11:8082'))
    .action(async (options: OperatorOptions) => {
      const status = await fetchStatus(createClient(terminal, options.operator))
      terminal.writeLine(options.output === OutputFormat.json ? JSON.stringify(status, undefined, 2) : formatStatus(status))
    })
}
