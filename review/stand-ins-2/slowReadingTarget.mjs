import { Target } from './target.mjs'

/** Upstream that reads each connection at a bounded rate. */
export class SlowReadingTarget extends Target {
  accept (socket) {
    const { bytesPerSecond } = this
    const chunkMs = 50
    const chunkBytes = Math.floor(bytesPerSecond * chunkMs / 1_000)
    // Bytes that were read ahead wait here; the socket is read no faster than they are used up.
    socket[Symbol.asyncIterator] = async function * () {
      let isEnded = false
      socket.once('end', () => { isEnded = true })
      socket.once('close', () => { isEnded = true })
      socket.pause()
      for (;;) {
        let budget = chunkBytes
        for (let chunk = socket.read(Math.min(budget, socket.readableLength) || undefined); chunk !== null; chunk = budget > 0 ? socket.read(Math.min(budget, socket.readableLength) || undefined) : null) {
          budget -= chunk.length
          yield chunk
        }
        if (isEnded && socket.readableLength === 0) return
        await new Promise((resolve) => { setTimeout(resolve, chunkMs) })
      }
    }
    super.accept(socket)
  }
}
