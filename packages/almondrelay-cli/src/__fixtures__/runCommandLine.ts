import { runProgram } from '../commands/runProgram.js'

interface ProgramResult {
  code: number
  stdout: string
  stderr: string
}

/** Runs `almondrelay` in this process and collects its output. */
export async function runCommandLine (args: readonly string[], environment: Record<string, string> = {}): Promise<ProgramResult> {
  const result: ProgramResult = { code: 0, stdout: '', stderr: '' }
  await runProgram({
    writeLine: (text) => { result.stdout += `${text}\n` },
    writeError: (text) => { result.stderr += `${text}\n` },
    setExitCode: (code) => { result.code = code },
    environment,
    signal: new AbortController().signal
  }, args)
  return result
}
