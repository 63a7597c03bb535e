import { CommanderError, type Command } from 'commander'
import { ExitCode } from './exitCode.js'

/**
 * Runs a command with the arguments after the program's name. A wrong command line gives
 * ExitCode.usage; commander has then written what is wrong.
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
