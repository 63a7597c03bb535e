// One client connection on a raw socket. Answers are read in the order of the requests.
import { connect } from 'node:net'

const HEAD_END = '\r\n\r\n'

export class ClientConnection {
  #received = Buffer.alloc(0)
  #waiting = []
  closedAt
  closeReason

  constructor (ip, port) {
    this.socket = connect({ host: ip, port })
    this.socket.setNoDelay(true)
    this.opened = new Promise((resolve, reject) => { this.socket.once('connect', resolve).once('error', reject) })
    this.opened.catch(() => undefined)
    this.socket.on('data', (bytes) => { this.#received = Buffer.concat([this.#received, bytes]); this.#parse(false) })
    this.socket.on('end', () => { this.#parse(true); this.#close('end of stream') })
    this.socket.on('error', (error) => { this.#close(error.code) })
    this.socket.on('close', () => { this.#close('closed') })
  }

  /** Sends a whole request; resolves with its answer, or with { status: undefined, reason } if the connection ends without one. */
  send ({ id, method = 'GET', path, host = 'a.example', body = '', key = id, deadlineMs }) {
    this.write(encodeRequest({ id, method, path, host, body, key, deadlineMs }))
    return this.expectAnswer(id)
  }

  write (bytes) {
    if (!this.socket.destroyed) this.socket.write(bytes)
  }

  expectAnswer (id) {
    return new Promise((resolve) => {
      if (this.closeReason !== undefined) resolve({ id, status: undefined, reason: this.closeReason, at: this.closedAt })
      else this.#waiting.push({ id, resolve })
    })
  }

  close () {
    this.socket.destroy()
  }

  #close (reason) {
    if (this.closeReason !== undefined) return
    this.closeReason = reason
    this.closedAt = performance.now()
    for (const { id, resolve } of this.#waiting.splice(0)) resolve({ id, status: undefined, reason, at: this.closedAt })
  }

  #parse (isEnd) {
    for (;;) {
      const end = this.#received.indexOf(HEAD_END)
      if (end < 0 || this.#waiting.length === 0) return
      const [line, ...rest] = this.#received.subarray(0, end).toString('latin1').split('\r\n')
      const headers = Object.fromEntries(rest.map((each) => [each.slice(0, each.indexOf(':')).toLowerCase(), each.slice(each.indexOf(':') + 1).trim()]))
      const status = Number(line.split(' ')[1])
      const isInterim = status < 200
      const hasLength = headers['content-length'] !== undefined
      if (!isInterim && !hasLength && !isEnd && headers.connection !== 'close') throw new Error(`answer without a length: ${line}`)
      const start = end + HEAD_END.length
      const length = isInterim ? 0 : hasLength ? Number(headers['content-length']) : this.#received.length - start
      if (!isInterim && !hasLength && !isEnd) return
      if (this.#received.length < start + length) return
      const body = this.#received.subarray(start, start + length)
      this.#received = this.#received.subarray(start + length)
      if (isInterim) continue
      const { id, resolve } = this.#waiting.shift()
      resolve({ id, status, headers, body, at: performance.now() })
    }
  }
}

export function encodeRequest ({ id, method, path, host = 'a.example', body = '', key = id, deadlineMs }) {
  const length = method === 'GET' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`
  return `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nRelay-Request-Id: ${id}\r\nAffinity-Key: ${key}\r\nDeadline-Ms: ${deadlineMs}\r\n${length}\r\n${body}`
}
