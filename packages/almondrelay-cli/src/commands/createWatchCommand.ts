import { setTimeout as sleep } from 'node:timers/promises'
import { Command, Option } from 'commander'
import type { ResourceKind } from 'almondrelay'
import { fetchResource } from '../client/fetchResource.js'
import { fetchResources } from '../client/fetchResources.js'
import { fetchStatus } from '../client/fetchStatus.js'
import type { OperatorClient } from '../client/operatorClient.js'
import { ExitCode } from '../common/exitCode.js'
import type { Terminal } from '../common/terminal.js'
import { OutputFormat } from '../output/outputFormat.js'
import { parseKind } from '../resources/parseKind.js'
import { addOperatorOptions } from './addOperatorOptions.js'
import { createClient } from './createClient.js'
import { decideWatch } from './decideWatch.js'
import { formatExample } from './formatExample.js'
import type { OperatorOptions } from './operatorOptions.js'
import { parseWholeNumber } from './parseWholeNumber.js'
import { WatchGoal } from './watchGoal.js'

interface WatchOptions extends OperatorOptions {
  until: WatchGoal
  timeout: number
}

const POLL_INTERVAL_MS = 250
const DEFAULT_TIMEOUT_MS = 60_000

/** `almondrelay watch`: follows resources until a goal is reached. */
export function createWatchCommand (terminal: Terminal): Command {
  return addOperatorOptions(new Command('watch'))
    .description('Follow the resources of a kind, or one of them, until a goal is reached.')
    .argument('<kind>', 'Service, Region, Link, SteeringPolicy, Drain or ShiftCap')
    .argument('[name]', 'name of one resource')
    .addOption(new Option('--until <goal>', 'in-force: everywhere that can be reached; drained: no work is left').choices(Object.values(WatchGoal)).default(WatchGoal.inForce))
    .option('--timeout <ms>', `give up after this long, with exit code ${ExitCode.timeout}`, parseWholeNumber, DEFAULT_TIMEOUT_MS)
    .addHelpText('after', formatExample('almondrelay watch Drain akl-a-maintenance --until drained --timeout 120000 --operator 10.1.1.11:8082'))
    .action(async (kindText: string, name: string | undefined, options: WatchOptions) => {
      const client = createClient(terminal, options.operator)
      terminal.setExitCode(await watchUntil(terminal, client, parseKind(kindText), name, options))
    })
}

const watchUntil = async (terminal: Terminal, client: OperatorClient, kind: ResourceKind, name: string | undefined, options: WatchOptions): Promise<ExitCode> => {
  const deadline = performance.now() + options.timeout
  const printedTexts = new Map<string, string>()
  for (;;) {
    const code = await checkOnce(terminal, client, kind, name, options, printedTexts)
    if (code !== undefined) return code
    if (performance.now() >= deadline) {
      terminal.writeError(`${options.until} was not reached within ${options.timeout} ms; the lines above and almondrelay status show what is missing`)
      return ExitCode.timeout
    }
    await sleep(POLL_INTERVAL_MS, undefined, { signal: terminal.signal })
  }
}

// Returns the exit code; undefined while the goal is not reached.
const checkOnce = async (terminal: Terminal, client: OperatorClient, kind: ResourceKind, name: string | undefined, options: WatchOptions, printedTexts: Map<string, string>): Promise<ExitCode | undefined> => {
  const resources = name === undefined ? await fetchResources(client, kind) : [await fetchResource(client, kind, name)]
  const status = await fetchStatus(client)
  let reached = true
  for (const resource of resources) {
    if (resource === undefined) {
      terminal.writeError(`${kind}/${name} does not exist; list the existing ones with almondrelay get ${kind}`)
      return ExitCode.absent
    }
    const state = decideWatch(options.until, resource, status)
    reached &&= state.reached
    if (printedTexts.get(resource.name) === state.text) continue
    printedTexts.set(resource.name, state.text)
    terminal.writeLine(options.output === OutputFormat.json ? JSON.stringify({ resource: `${kind}/${resource.name}`, ...state }) : `${kind}/${resource.name}: ${state.text}`)
  }
  return reached ? ExitCode.ok : undefined
}
