import { Command } from 'commander'
import { match } from 'ts-pattern'
import { parseAnswer } from '../client/parseAnswer.js'
import { WriteState } from '../client/writeState.js'
import { ExitCode } from '../common/exitCode.js'
import type { Terminal } from '../common/terminal.js'
import { OutputFormat } from '../output/outputFormat.js'
import { addOperatorOptions } from './addOperatorOptions.js'
import { createClient } from './createClient.js'
import { formatExample } from './formatExample.js'
import type { OperatorOptions } from './operatorOptions.js'

/** `almondrelay outcome`: shows the outcome of a write whose answer was lost. */
export function createOutcomeCommand (terminal: Terminal): Command {
  return addOperatorOptions(new Command('outcome'))
    .description('Show the outcome of a write that was reported as unknown.')
    .argument('<write id>', 'the write id that apply or delete printed')
    .addHelpText('after', formatExample('almondrelay outcome 7d0f0a52-6a3c-4f0e-9b93-0d8f2a3f6f11 --operator 10.1.1.11:8082'))
    .action(async (writeId: string, options: OperatorOptions) => {
      const answer = await createClient(terminal, options.operator).sendIdempotent({ method: 'GET', path: `/v1/writes/${encodeURIComponent(writeId)}` })
      const state = parseAnswer(answer, WriteState, `write ${writeId}`)
      if (options.output === OutputFormat.json) terminal.writeLine(JSON.stringify(state))
      else terminal.writeLine(describeState(state))
      terminal.setExitCode(match(state.outcome).with('accepted', () => ExitCode.ok).with('absent', () => ExitCode.absent).with('unknown', () => ExitCode.unknown).exhaustive())
    })
}

const describeState = (state: WriteState): string => match(state)
  .with({ outcome: 'accepted' }, ({ revision }) => `stored as revision ${revision}`)
  .with({ outcome: 'absent' }, () => 'not stored so far')
  .with({ outcome: 'unknown' }, () => 'still unknown; the platform can\'t be read now, try again later')
  .exhaustive()
