import { write } from 'node:fs'

const STDOUT_FD = 1
/** Maximum bytes queued for a slow reader of the log; further output is dropped and counted. */
const MAX_WAITING_BYTES = 1024 * 1024

/**
 * Writes to standard output without blocking: a synchronous write to a pipe whose reader has stalled would stop the
 * whole process. Writes run one at a time on a thread of the libuv pool.
 */
export class StdoutWriter {
  private readonly waiting: Buffer[] = []
  private waitingBytes = 0
  private isWriting = false
  /** Bytes dropped because the reader was too slow or a write failed. */
  droppedBytes = 0

  write (chunk: Buffer): void {
    if (this.waitingBytes + chunk.byteLength > MAX_WAITING_BYTES) {
      this.droppedBytes += chunk.byteLength
      return
    }
    this.waiting.push(chunk)
    this.waitingBytes += chunk.byteLength
    if (!this.isWriting) this.writeNext()
  }

  private writeNext (): void {
    const chunk = this.waiting[0]
    if (chunk === undefined) {
      this.isWriting = false
      return
    }
    this.isWriting = true
    write(STDOUT_FD, chunk, (error, written) => {
      if (error !== null) this.droppedBytes += chunk.byteLength
      this.finishWrite(chunk, error === null ? written : chunk.byteLength)
    })
  }

  private finishWrite (chunk: Buffer, written: number): void {
    this.waitingBytes -= written
    if (written < chunk.byteLength) this.waiting[0] = chunk.subarray(written)
    else this.waiting.shift()
    this.writeNext()
  }
}
