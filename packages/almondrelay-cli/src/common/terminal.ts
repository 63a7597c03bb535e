import type { ExitCode } from './exitCode.js'

/** The parts of the process that a command uses: output, exit code, environment and interrupt signal. */
export interface Terminal {
  writeLine: (text: string) => void
  writeError: (text: string) => void
  setExitCode: (code: ExitCode) => void
  environment: Readonly<Record<string, string | undefined>>
  /** Aborts when the operator interrupts the command. */
  signal: AbortSignal
}
