// Stand-in for an upstream (PROTOCOL.md, "Upstreams"): HTTP/1.1 on raw sockets, one request at a time on a connection, `slots` requests at a
// time, an answer that echoes the id and bears a stamp.
import { createServer } from 'node:net'

const HEAD_END = '\r\n\r\n'
/** Among the parts of an answer: the connection is closed here. */
export const BREAK_OFF = Symbol('break off')

export class Upstream {
  #server = createServer((socket) => { this.#accept(socket) })
  #sockets = new Set()
  #running = 0
  #queue = []
  #sequence = 0

  /**
   * @param work returns the milliseconds that a request takes, from { method, url }
   * @param encode returns the bytes of an answer from { id, head, request }; `head` holds the header lines that each answer bears
   */
  constructor (id, service, { ip, zone, slots = 3, work, encode, store, record }) {
    Object.assign(this, { id, service, ip, zone, slots, work, encode, store, record })
    this.runs = []
  }

  async start () {
    await new Promise((resolve) => { this.#server.listen(0, this.ip, resolve) })
    this.address = `${this.ip}:${this.#server.address().port}`
    this.born = Date.now()
    this.#beat()
    this.timer = setInterval(() => { this.#beat() }, 1_500)
  }

  stop () {
    clearInterval(this.timer)
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }

  #beat () {
    this.#sequence += 1
    const { service, address, zone, slots, born } = this
    this.store.write(`servers/${this.id}`, { service, address, zone, version: 'v1', slots, state: 'ready', cold_left: '0ms', sequence: this.#sequence, born })
  }

  #accept (socket) {
    this.#sockets.add(socket)
    socket.setNoDelay(true)
    let received = Buffer.alloc(0)
    let isBusy = false
    const next = async () => {
      if (isBusy) return
      const end = received.indexOf(HEAD_END)
      if (end < 0) return
      const request = parseHead(received.subarray(0, end).toString('latin1'))
      const length = Number(request.headers['content-length'] ?? 0)
      if (received.length < end + HEAD_END.length + length) return
      request.body = received.subarray(end + HEAD_END.length, end + HEAD_END.length + length).toString('latin1')
      received = received.subarray(end + HEAD_END.length + length)
      isBusy = true
      const bytes = await this.#handle(request, socket)
      isBusy = false
      if (bytes === undefined || socket.destroyed) return
      for (const part of [bytes].flat()) {
        if (part === BREAK_OFF) {
          socket.destroy()
          return
        }
        socket.write(part)
        await new Promise((resolve) => { setTimeout(resolve, 5) })
      }
      next()
    }
    socket.on('data', (bytes) => { received = Buffer.concat([received, bytes]); next() })
    socket.on('error', () => undefined)
    socket.on('close', () => { this.#sockets.delete(socket) })
  }

  async #handle (request, socket) {
    const { headers, url } = request
    const load = () => `Server-Load: ${this.#running},${this.#queue.length},${this.slots}\r\n`
    if (url === '/health') return `HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\n${load()}Content-Length: 0\r\n\r\n`
    const id = headers['relay-request-id']
    if (headers['expected-instance'] !== undefined && headers['expected-instance'] !== this.id) return `HTTP/1.1 421 Misdirected Request\r\nRelay-Request-Id: ${id}\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`
    if (this.#running >= this.slots) {
      if (this.#queue.length >= 3 * this.slots) return `HTTP/1.1 503 Service Unavailable\r\nRelay-Request-Id: ${id}\r\nNot-Executed: 1\r\n${load()}Content-Length: 0\r\n\r\n`
      await new Promise((resolve) => { this.#queue.push(resolve) })
    }
    this.#running += 1
    const run = { id, upstream: this.id, method: request.method, url, body: request.body, startedAt: performance.now() }
    this.runs.push(run)
    this.record(`upstream ${this.id} begins to run ${request.method} ${url} id ${id}`)
    await new Promise((resolve) => { setTimeout(resolve, this.work(request)) })
    this.#running -= 1
    this.#queue.shift()?.()
    if (socket.destroyed) {
      this.record(`upstream ${this.id} has run id ${id}; the connection is closed`)
      return undefined
    }
    run.finishedAt = performance.now()
    this.record(`upstream ${this.id} has run id ${id} and answers`)
    const head = `Relay-Request-Id: ${id}\r\nResponse-Stamp: ${this.id}.${id}\r\n${load()}Keep-Alive: timeout=10\r\n`
    return this.encode({ id, head, request, run })
  }
}

function parseHead (text) {
  const [line, ...rest] = text.split('\r\n')
  const [method, url] = line.split(' ')
  const headers = Object.fromEntries(rest.map((each) => [each.slice(0, each.indexOf(':')).toLowerCase(), each.slice(each.indexOf(':') + 1).trim()]))
  return { method, url, headers }
}
