import { Writable } from 'node:stream'

/** Lines are held back at most so long, in milliseconds, or until so many bytes of them wait. */
const HOLD_MS = 20
const HOLD_BYTES = 65_536

/**
 * Writes log lines in batches: a write to a pipe or file blocks the process, and a request has four
 * lines. A process that is killed loses the lines of its last HOLD_MS.
 */
export class BatchedOutput extends Writable {
  private held: Buffer[] = []
  private bytes = 0
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly writeOut: (chunk: Buffer) => void) {
    super()
  }

  override _write (chunk: Buffer, _encoding: string, done: () => void): void {
    this.held.push(chunk)
    this.bytes += chunk.byteLength
    if (this.bytes >= HOLD_BYTES) this.flush()
    else this.timer ??= setTimeout(() => { this.flush() }, HOLD_MS)
    done()
  }

  /** Writes what is held back; to be called before the process ends. */
  flush (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.held.length === 0) return
    this.writeOut(Buffer.concat(this.held))
    this.held = []
    this.bytes = 0
  }
}
