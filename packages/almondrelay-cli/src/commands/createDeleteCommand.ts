import { Command } from 'commander'
import { AlmondrelayError, ErrorKind } from 'almondrelay'
import { fetchResource } from '../client/fetchResource.js'
import { writeResource } from '../client/writeResource.js'
import type { Terminal } from '../common/terminal.js'
import { describeWrite } from '../output/describeWrite.js'
import { OutputFormat } from '../output/outputFormat.js'
import { parseKind } from '../resources/parseKind.js'
import { addOperatorOptions } from './addOperatorOptions.js'
import { createClient } from './createClient.js'
import { exitCodeByOutcome } from './exitCodeByOutcome.js'
import { findAuthor } from './findAuthor.js'
import { formatExample } from './formatExample.js'
import type { OperatorOptions } from './operatorOptions.js'
import { parseWholeNumber } from './parseWholeNumber.js'
import { reportReach } from './reportReach.js'

interface DeleteOptions extends OperatorOptions {
  wait?: number
  author?: string
}

/** `almondrelay delete`: deletes one resource. */
export function createDeleteCommand (terminal: Terminal): Command {
  return addOperatorOptions(new Command('delete'))
    .description('Delete a resource. Deleting a drain ends it.')
    .argument('<kind>', 'Service, Region, Link, SteeringPolicy, Drain or ShiftCap')
    .argument('<name>', 'name of the resource')
    .option('--wait <ms>', 'wait up to this long until the deletion is in force on every reachable host', parseWholeNumber)
    .option('--author <name>', 'author to record in the change log')
    .addHelpText('after', formatExample('almondrelay delete Drain akl-a-maintenance --wait 5000 --operator 10.1.1.11:8082'))
    .action(async (kindText: string, name: string, options: DeleteOptions) => {
      const kind = parseKind(kindText)
      const client = createClient(terminal, options.operator)
      const current = await fetchResource(client, kind, name)
      if (current === undefined) throw new AlmondrelayError({ kind: ErrorKind.resourceMissing, message: `${kind}/${name} does not exist`, remedy: `list the existing ones with almondrelay get ${kind}` })
      const result = await writeResource(client, { method: 'DELETE', kind, name, revision: current.revision, author: findAuthor(terminal, options.author) }, terminal.signal)
      terminal.writeLine(options.output === OutputFormat.json ? JSON.stringify({ resource: `${kind}/${name}`, ...result }) : describeWrite(`${kind}/${name}`, result))
      terminal.setExitCode(exitCodeByOutcome[result.outcome])
      if (result.outcome === 'accepted' && options.wait !== undefined) await reportReach(terminal, client, result.revision, options.wait, options.output)
    })
}
