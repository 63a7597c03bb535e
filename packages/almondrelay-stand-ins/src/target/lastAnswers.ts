import type { Socket } from 'node:net'
import { HeaderName } from 'almondrelay'

interface LastAnswer {
  status: number
  body: Buffer
  sendId: string | undefined
}

/** The last answer on each connection to a target. */
export class LastAnswers {
  private readonly answers = new WeakMap<Socket, LastAnswer>()

  record (socket: Socket, answer: LastAnswer): void {
    this.answers.set(socket, answer)
  }

  /** Sends the last answer on the connection once more, past the HTTP server. */
  send (socket: Socket): void {
    const answer = this.answers.get(socket)
    if (answer === undefined) return
    this.answers.delete(socket)
    const { status, body, sendId } = answer
    const echo = sendId === undefined ? '' : `${HeaderName.sendId}: ${sendId}\r\n`
    socket.write(Buffer.concat([Buffer.from(`HTTP/1.1 ${status} Repeated\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n${echo}\r\n`), body]))
  }
}
