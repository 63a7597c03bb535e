import { Command } from 'commander'
import { ExitCode } from '../common/exitCode.js'
import type { Terminal } from '../common/terminal.js'
import { createAccountCommand } from './createAccountCommand.js'
import { createApplyCommand } from './createApplyCommand.js'
import { createCheckCommand } from './createCheckCommand.js'
import { createDeleteCommand } from './createDeleteCommand.js'
import { createExplainCommand } from './createExplainCommand.js'
import { createGetCommand } from './createGetCommand.js'
import { createLookupCommand } from './createLookupCommand.js'
import { createOutcomeCommand } from './createOutcomeCommand.js'
import { createQuarantineCommand } from './createQuarantineCommand.js'
import { createReleaseCommand } from './createReleaseCommand.js'
import { createReplayCommand } from './createReplayCommand.js'
import { createReportCommand } from './createReportCommand.js'
import { createStatusCommand } from './createStatusCommand.js'
import { createWatchCommand } from './createWatchCommand.js'
import { formatExample } from './formatExample.js'

const COMMANDS = [
  createCheckCommand,
  createGetCommand,
  createApplyCommand,
  createDeleteCommand,
  createWatchCommand,
  createOutcomeCommand,
  createLookupCommand,
  createStatusCommand,
  createQuarantineCommand,
  createReleaseCommand,
  createAccountCommand,
  createExplainCommand,
  createReplayCommand,
  createReportCommand
]

const EXIT_CODES = `
Exit codes:
  ${ExitCode.ok}  done, or the awaited state holds
  ${ExitCode.failed}  any other error
  ${ExitCode.usage}  wrong command line; nothing was sent
  ${ExitCode.rejected}  a resource is invalid and was not stored
  ${ExitCode.conflict}  another write came first
  ${ExitCode.unknown}  not known whether a write was stored; the message gives its write id
  ${ExitCode.unreachable}  no host could be reached
  ${ExitCode.timeout}  the time limit passed before the awaited state held
  ${ExitCode.absent}  the resource, request or write does not exist
  ${ExitCode.different}  a replayed decision differs from the recorded one`

/** Creates the command line `almondrelay` with all its commands. */
export function createProgram (terminal: Terminal): Command {
  const program = new Command('almondrelay')
    .description('Operate almondrelay: declare resources, watch them take effect, read the account of requests.')
    .addHelpText('after', `${formatExample('almondrelay apply -f shift.jsonc --wait 5000 --operator 10.1.1.11:8082', 'almondrelay help watch')}\n${EXIT_CODES}`)
  for (const createCommand of COMMANDS) program.addCommand(createCommand(terminal))
  applyTerminal(program, terminal)
  return program
}

const applyTerminal = (command: Command, terminal: Terminal): void => {
  command.exitOverride().showSuggestionAfterError().configureOutput({
    writeOut: (text) => terminal.writeLine(text.trimEnd()),
    writeErr: (text) => terminal.writeError(text.trimEnd())
  })
  for (const each of command.commands) applyTerminal(each, terminal)
}
