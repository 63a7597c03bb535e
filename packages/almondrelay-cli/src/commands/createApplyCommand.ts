import { isDeepStrictEqual } from 'node:util'
import { Command } from 'commander'
import { resourceSpecs } from 'almondrelay'
import { fetchResource } from '../client/fetchResource.js'
import type { OperatorClient } from '../client/operatorClient.js'
import type { WriteOutcome } from '../client/writeOutcome.js'
import { writeResource } from '../client/writeResource.js'
import type { Terminal } from '../common/terminal.js'
import { describeWrite } from '../output/describeWrite.js'
import { OutputFormat } from '../output/outputFormat.js'
import type { DeclaredResource } from '../resources/declaredResource.js'
import { loadResources } from '../resources/loadResources.js'
import { sortByDependence } from '../resources/sortByDependence.js'
import { addOperatorOptions } from './addOperatorOptions.js'
import { createClient } from './createClient.js'
import { exitCodeByOutcome } from './exitCodeByOutcome.js'
import { findAuthor } from './findAuthor.js'
import { formatExample } from './formatExample.js'
import type { OperatorOptions } from './operatorOptions.js'
import { parseWholeNumber } from './parseWholeNumber.js'
import { reportReach } from './reportReach.js'

interface ApplyOptions extends OperatorOptions {
  file: string[]
  wait?: number
  author?: string
}

/** `almondrelay apply`: writes the resources in files, dependencies first. */
export function createApplyCommand (terminal: Terminal): Command {
  return addOperatorOptions(new Command('apply'))
    .description('Write the resources in files, dependencies first. Stops at the first that is not accepted; unchanged resources are skipped.')
    .requiredOption('-f, --file <file...>', 'file of resources: a list of {kind, name, spec}, JSON with comments')
    .option('--wait <ms>', 'wait up to this long until the resources are in force on every reachable host; reports from other regions arrive every 2 s, so give 5000 or more', parseWholeNumber)
    .option('--author <name>', 'author to record in the change log (default: ALMONDRELAY_AUTHOR, or the user of this machine)')
    .addHelpText('after', formatExample('almondrelay apply -f shift.jsonc --wait 5000 --operator 10.1.1.11:8082 --operator 10.2.1.11:8082'))
    .action(async (options: ApplyOptions) => {
      const resources = sortByDependence(await loadResources(options.file))
      const client = createClient(terminal, options.operator)
      const revision = await applyAll(terminal, client, resources, options)
      if (revision !== undefined && options.wait !== undefined) await reportReach(terminal, client, revision, options.wait, options.output)
    })
}

// Returns the highest revision of the resources; undefined if one was not accepted.
const applyAll = async (terminal: Terminal, client: OperatorClient, resources: readonly DeclaredResource[], options: ApplyOptions): Promise<number | undefined> => {
  let highest = 0
  for (const resource of resources) {
    const result = await applyOne(terminal, client, resource, options.author)
    const name = `${resource.kind}/${resource.name}`
    terminal.writeLine(options.output === OutputFormat.json ? JSON.stringify({ resource: name, ...result }) : describeWrite(name, result))
    if (result.outcome !== 'accepted' && result.outcome !== 'unchanged') {
      terminal.setExitCode(exitCodeByOutcome[result.outcome])
      return undefined
    }
    highest = Math.max(highest, result.revision)
  }
  return highest
}

const applyOne = async (terminal: Terminal, client: OperatorClient, resource: DeclaredResource, author: string | undefined): Promise<WriteOutcome> => {
  const current = await fetchResource(client, resource.kind, resource.name)
  const spec = resourceSpecs[resource.kind].parse(resource.spec)
  if (current !== undefined && isDeepStrictEqual(current.spec, spec)) return { outcome: 'unchanged', revision: current.revision }
  const write = { method: 'PUT' as const, kind: resource.kind, name: resource.name, spec, revision: resource.revision ?? current?.revision, author: findAuthor(terminal, author) }
  return writeResource(client, write, terminal.signal)
}
