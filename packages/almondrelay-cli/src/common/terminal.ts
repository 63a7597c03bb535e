import type { ExitCode } from './exitCode.js'

/** What a command uses of the process around it. */
export interface Terminal {
  writeLine: (text: string) => void
  writeError: (text: string) => void
  setExitCode: (code: ExitCode) => void
  environment: Readonly<Record<string, string | undefined>>
  /** Aborts when the operator interrupts the command. */
  signal: AbortSignal
}
