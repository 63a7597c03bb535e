import { Command } from 'commander'
import { AlmondrelayError, ErrorKind, type ResourceKind } from 'almondrelay'
import { fetchResource } from '../client/fetchResource.js'
import { fetchResources } from '../client/fetchResources.js'
import type { OperatorClient } from '../client/operatorClient.js'
import type { ShownResource } from '../client/shownResource.js'
import type { Terminal } from '../common/terminal.js'
import { formatResources } from '../output/formatResources.js'
import { OutputFormat } from '../output/outputFormat.js'
import { parseKind } from '../resources/parseKind.js'
import { addOperatorOptions } from './addOperatorOptions.js'
import { createClient } from './createClient.js'
import { formatExample } from './formatExample.js'
import type { OperatorOptions } from './operatorOptions.js'

/** `almondrelay get`: shows resources with spec and status. */
export function createGetCommand (terminal: Terminal): Command {
  return addOperatorOptions(new Command('get'))
    .description('Show the resources of a kind, or one of them, with spec and status.')
    .argument('<kind>', 'Service, Region, Link, SteeringPolicy, Drain or ShiftCap')
    .argument('[name]', 'name of one resource')
    .addHelpText('after', formatExample('almondrelay get Drain --operator 10.1.1.11:8082', 'almondrelay get ShiftCap akl-to-wlg --output json'))
    .action(async (kindText: string, name: string | undefined, options: OperatorOptions) => {
      const kind = parseKind(kindText)
      const resources = await findResources(createClient(terminal, options.operator), kind, name)
      if (options.output === OutputFormat.json) terminal.writeLine(JSON.stringify(name === undefined ? resources : resources[0], undefined, 2))
      else terminal.writeLine(formatResources(resources, name !== undefined))
    })
}

const findResources = async (client: OperatorClient, kind: ResourceKind, name: string | undefined): Promise<ShownResource[]> => {
  if (name === undefined) return fetchResources(client, kind)
  const resource = await fetchResource(client, kind, name)
  if (resource !== undefined) return [resource]
  throw new AlmondrelayError({ kind: ErrorKind.resourceMissing, message: `${kind}/${name} does not exist`, remedy: `list the existing ones with almondrelay get ${kind}` })
}
