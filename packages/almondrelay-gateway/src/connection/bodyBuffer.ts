/** Size of a piece, in bytes, from which it is kept as it was received. */
const MIN_KEPT_BYTES = 512
const BLOCK_BYTES = 16 * 1024
const NO_BYTES = Buffer.alloc(0)

/**
 * Collects the pieces of a body. Small ones are copied together: each piece costs an object and keeps the buffer in which it was
 * received, so that a body in chunks of one byte would take a hundred times its size.
 */
export class BodyBuffer {
  private readonly pieces: Buffer[] = []
  private block = NO_BYTES
  /** Bytes of the block that are in use. */
  private used = 0

  append (piece: Buffer): void {
    if (piece.length >= MIN_KEPT_BYTES || this.pieces.length === 0) {
      this.flush()
      this.pieces.push(piece)
      return
    }
    if (this.used + piece.length > this.block.length) {
      this.flush()
      this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES)
    }
    this.used += piece.copy(this.block, this.used)
  }

  /** Returns the whole body and begins a new one. */
  take (): Buffer {
    this.flush()
    const body = this.pieces.length > 1 ? Buffer.concat(this.pieces) : this.pieces[0] ?? NO_BYTES
    this.clear()
    return body
  }

  clear (): void {
    this.pieces.length = 0
    this.block = NO_BYTES
    this.used = 0
  }

  private flush (): void {
    if (this.used === 0) return
    this.pieces.push(this.block.subarray(0, this.used))
    this.block = this.block.subarray(this.used)
    this.used = 0
  }
}
