import { createServer } from 'node:net'

const HEAD_END = Buffer.from('\r\n\r\n')

/**
 * Stand-in for an upstream: reads requests from its connections, one at a time on each, and hands them to `handle`, which answers them.
 * Only bodies with a length are read, as the system sends them so.
 */
export class Target {
  runs = []
  sockets = new Set()
  sequence = 0

  /** @param fields id, service, zone, and `handle`, called with each request `{ id, method, url, headers, body, at, reply, socket }`; `reply` answers it */
  constructor ({ ip = '127.0.0.1', slots = 6, born = Date.now(), ...fields }) {
    Object.assign(this, { ip, slots, born, ...fields })
  }

  async start (port = 0) {
    this.server = createServer((socket) => { this.accept(socket) })
    await new Promise((resolve) => { this.server.listen(port, this.ip, resolve) })
    this.port = this.server.address().port
    return this
  }

  /** Value of the upstream's entry in the store. */
  describe (state = 'ready') {
    this.sequence += 1
    return { service: this.service, address: `${this.ip}:${this.port}`, zone: this.zone, version: 'v1', slots: this.slots, state, cold_left: '0ms', sequence: this.sequence, born: this.born }
  }

  accept (socket) {
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('error', () => {})
    this.read(socket).catch(() => {})
  }

  /** Reads the requests of a connection; overridden or replaced where an upstream reads otherwise. */
  async read (socket) {
    let data = Buffer.alloc(0)
    const chunks = socket[Symbol.asyncIterator]()
    const readMore = async () => {
      const { value, done } = await chunks.next()
      if (done) return false
      data = Buffer.concat([data, value])
      return true
    }
    for (;;) {
      let end = data.indexOf(HEAD_END)
      while (end < 0) {
        if (!await readMore()) return
        end = data.indexOf(HEAD_END)
      }
      const [first, ...lines] = data.subarray(0, end).toString('latin1').split('\r\n')
      const [method, url] = first.split(' ')
      const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
      const length = Number(headers['content-length'] ?? 0)
      data = data.subarray(end + 4)
      const parts = [data.subarray(0, length)]
      let read = parts[0].length
      data = data.subarray(read)
      while (read < length) {
        const { value, done } = await chunks.next()
        if (done) return
        parts.push(value.subarray(0, length - read))
        data = value.subarray(length - read)
        read += parts.at(-1).length
      }
      await new Promise((resolve) => {
        const request = { id: headers['relay-request-id'], method, url, headers, body: Buffer.concat(parts), at: performance.now(), socket }
        request.reply = (body, { status = 200, extra = '', stamp = true } = {}) => {
          const bytes = Buffer.from(body)
          if (!socket.destroyed) socket.write(Buffer.concat([Buffer.from(`HTTP/1.1 ${status} X\r\nRelay-Request-Id: ${request.id}\r\n${stamp ? `Response-Stamp: ${this.id}.${request.id}\r\n` : ''}Server-Load: 1,0,${this.slots}\r\nKeep-Alive: timeout=10\r\n${extra}Content-Length: ${bytes.length}\r\n\r\n`), bytes]))
          resolve()
        }
        this.runs.push(request)
        this.handle(request)
      })
    }
  }

  stop () {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}
