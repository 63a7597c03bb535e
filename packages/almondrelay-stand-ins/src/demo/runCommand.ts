import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { resolveProgram } from '../cluster/resolveProgram.js'

interface CommandEnd {
  code: number
  output: string
}

/** Runs the operators' command line and waits for its end. */
export async function runCommand (args: string[], signal: AbortSignal): Promise<CommandEnd> {
  const child = spawn(process.execPath, [resolveProgram('almondrelay'), ...args], { stdio: ['ignore', 'pipe', 'pipe'], signal })
  const parts: string[] = []
  child.stdout.on('data', (data: Buffer) => { parts.push(data.toString()) })
  child.stderr.on('data', (data: Buffer) => { parts.push(data.toString()) })
  const [code] = await once(child, 'close') as [number | null]
  return { code: code ?? 1, output: parts.join('') }
}
