import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

interface ChildProgramOptions {
  /** Shown in errors. */
  name: string
  /** The program and its arguments; run by this Node.js. */
  args: string[]
  /** Added to the environment of this process. */
  environment?: Record<string, string>
  /** Drops what it writes, where a reader that is late would hold it up; `lines` stays empty. */
  isSilent?: boolean
  signal: AbortSignal
}

interface ProgramExit {
  code: number | null
  signal: NodeJS.Signals | null
}

const MAX_KEPT_LINES = 50_000
/**
 * Milliseconds after which a program that hasn't begun counts as one that never will. No promise of the product: with
 * seven running processes to each core, starts took over 20 s.
 */
const READY_LIMIT_MS = 60_000
const living = new Set<ChildProcess>()
let isWatchingOwnEnd = false

/** A Node.js program that this process started and ends, by its process id alone. */
export class ChildProgram {
  /** What it wrote on standard output and error, oldest first; the oldest are dropped. */
  readonly lines: string[] = []
  readonly exited: Promise<ProgramExit>
  private readonly waiters = new Set<() => void>()

  private constructor (readonly name: string, private readonly child: ChildProcess) {
    this.exited = once(child, 'exit').then(([code, signal]) => ({ code: code as number | null, signal: signal as NodeJS.Signals | null }))
    for (const stream of [child.stdout, child.stderr]) {
      if (stream !== null) createInterface(stream).on('line', (line) => { this.addLine(line) })
    }
    child.once('exit', () => { this.wakeWaiters() })
  }

  /** Starts the program; it is killed when the signal aborts or this process ends. */
  static start ({ name, args, environment = {}, isSilent = false, signal }: ChildProgramOptions): ChildProgram {
    signal.throwIfAborted()
    killWithThisProcess()
    const child = spawn(process.execPath, args, { stdio: ['ignore', isSilent ? 'ignore' : 'pipe', 'pipe'], env: { ...process.env, ...environment } })
    living.add(child)
    const kill = (): void => { child.kill('SIGKILL') }
    signal.addEventListener('abort', kill, { once: true })
    child.once('exit', () => {
      living.delete(child)
      signal.removeEventListener('abort', kill)
    })
    return new ChildProgram(name, child)
  }

  getPid (): number {
    if (this.child.pid === undefined) throw new Error(`${this.name} did not start: see that its program was built`)
    return this.child.pid
  }

  isRunning (): boolean {
    return this.child.exitCode === null && this.child.signalCode === null
  }

  /** Ends it without warning, as a crash does, and waits until it has ended. */
  async kill (signal: NodeJS.Signals = 'SIGKILL'): Promise<ProgramExit> {
    this.child.kill(signal)
    return await this.exited
  }

  /** Stops it from running while its connections stay open. */
  freeze (): void {
    this.child.kill('SIGSTOP')
  }

  wake (): void {
    this.child.kill('SIGCONT')
  }

  /** A planned stop: asks it to end and waits until it has. */
  async stop (): Promise<ProgramExit> {
    return await this.kill('SIGTERM')
  }

  /** The first line that matches; rejects with its output when the program ends or is late. */
  async waitForLine (isWanted: (line: string) => boolean, limitMs = READY_LIMIT_MS): Promise<string> {
    const until = performance.now() + limitMs
    for (;;) {
      const line = this.lines.find(isWanted)
      if (line !== undefined) return line
      const leftMs = until - performance.now()
      if (!this.isRunning() || leftMs <= 0) throw new Error(`${this.name} ${this.isRunning() ? 'is late' : 'has ended'}; it wrote:\n${this.lines.slice(-20).join('\n')}`)
      await this.waitForOutput(leftMs)
    }
  }

  private async waitForOutput (limitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, limitMs)
      this.waiters.add(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  private addLine (line: string): void {
    this.lines.push(line)
    if (this.lines.length > 2 * MAX_KEPT_LINES) this.lines.splice(0, MAX_KEPT_LINES)
    this.wakeWaiters()
  }

  private wakeWaiters (): void {
    for (const wake of this.waiters) wake()
    this.waiters.clear()
  }
}

/** Without this a test that is ended at its time limit leaves its programs behind, frozen ones for good. */
function killWithThisProcess (): void {
  if (isWatchingOwnEnd) return
  isWatchingOwnEnd = true
  process.once('exit', () => {
    for (const child of living) child.kill('SIGKILL')
  })
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
    process.once(signal, () => { process.exit(1) })
  }
}
