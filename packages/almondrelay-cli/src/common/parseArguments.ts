import { CommanderError, type Command } from 'commander'
import { ExitCode } from './exitCode.js'

/**
 * Runs a command with the arguments that follow the program's name. Returns ExitCode.usage for a wrong command line,
 * which commander has then reported.
 */
export async function parseArguments (command: Command, args: readonly string[]): Promise<ExitCode | undefined> {
  try {
    await command.parseAsync(args, { from: 'user' })
    return undefined
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error
    return error.exitCode === 0 ? ExitCode.ok : ExitCode.usage
  }
}
