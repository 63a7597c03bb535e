import { write } from 'node:fs'

const STDOUT = 1
/** Bytes that may wait for a reader of the log; more is dropped and counted. */
const MOST_WAITING_BYTES = 1024 * 1024

/**
 * Writes to standard output without ever blocking: a pipe whose reader has stalled would stop the whole
 * process in a plain write. Writes go out one after the other from a thread of the pool.
 */
export class StdoutWriter {
  private readonly waiting: Buffer[] = []
  private waitingBytes = 0
  private isWriting = false
  /** Bytes given up because the reader was too slow. */
  droppedBytes = 0

  write (chunk: Buffer): void {
    if (this.waitingBytes + chunk.byteLength > MOST_WAITING_BYTES) {
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
    write(STDOUT, chunk, (error, written) => {
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
