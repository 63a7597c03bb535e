import { Writable } from 'node:stream'

/** Buffered lines are written after this time in milliseconds, or once this many bytes are buffered. */
const FLUSH_DELAY_MS = 20
const MAX_BUFFERED_BYTES = 65_536

/**
 * Writes log lines in batches, since each write to a pipe or file blocks the process and a request logs four
 * lines. A killed process loses the lines of its last FLUSH_DELAY_MS.
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
    if (this.bytes >= MAX_BUFFERED_BYTES) this.flush()
    else this.timer ??= setTimeout(() => { this.flush() }, FLUSH_DELAY_MS)
    done()
  }

  /** Writes the buffered lines; must be called before the process exits. */
  flush (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.held.length === 0) return
    this.writeOut(Buffer.concat(this.held))
    this.held = []
    this.bytes = 0
  }
}
