import { AlmondrelayError } from 'almondrelay'
import { ExitCode } from '../common/exitCode.js'
import { exitCodeByKind } from '../common/exitCodeByKind.js'
import { parseArguments } from '../common/parseArguments.js'
import type { Terminal } from '../common/terminal.js'
import { createProgram } from './createProgram.js'

/** Runs `almondrelay` with the arguments after the program's name. */
export async function runProgram (terminal: Terminal, args: readonly string[]): Promise<void> {
  try {
    const code = await parseArguments(createProgram(terminal), args)
    if (code !== undefined) terminal.setExitCode(code)
  } catch (error) {
    if (!(error instanceof AlmondrelayError)) throw error
    terminal.writeError(error.message)
    terminal.setExitCode(exitCodeByKind[error.kind] ?? ExitCode.failed)
  }
}
