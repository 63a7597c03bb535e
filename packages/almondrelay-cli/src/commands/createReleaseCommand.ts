import { Command } from 'commander'
import { releaseRequest } from '../client/releaseRequest.js'
import type { Terminal } from '../common/terminal.js'
import { addOperatorOptions } from './addOperatorOptions.js'
import { createClient } from './createClient.js'
import { formatExample } from './formatExample.js'
import type { OperatorOptions } from './operatorOptions.js'

/** `almondrelay release`: ends the quarantine of a request. */
export function createReleaseCommand (terminal: Terminal): Command {
  return addOperatorOptions(new Command('release'))
    .description('End the quarantine of a request at all hosts, for example once its targets have been fixed.')
    .argument('<fingerprint>', 'fingerprint of the request, as shown by almondrelay quarantine')
    .addHelpText('after', formatExample('almondrelay release 5f1c0a9be2d34477a1b2c3d4e5f60718 --operator 10.1.1.11:8082'))
    .action(async (fingerprint: string, options: OperatorOptions) => {
      await releaseRequest(createClient(terminal, options.operator), fingerprint)
      terminal.writeLine(`${fingerprint}: released`)
    })
}
