import { Command } from 'commander'
import type { Terminal } from '../common/terminal.js'
import { loadResources } from '../resources/loadResources.js'
import { formatExample } from './formatExample.js'

/** `almondrelay check`: validates files of resources without calling a host. */
export function createCheckCommand (terminal: Terminal): Command {
  return new Command('check')
    .description('Check files of resources without calling a host. Each file is a list of {kind, name, spec}, JSON with comments.')
    .requiredOption('-f, --file <file...>', 'file of resources')
    .addHelpText('after', formatExample('almondrelay check -f regions.jsonc -f services.jsonc'))
    .action(async (options: { file: string[] }) => {
      const resources = await loadResources(options.file)
      terminal.writeLine(`${resources.length} resources, no problems found`)
    })
}
