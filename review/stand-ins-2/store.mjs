import { createServer } from 'node:http'

const PAGE_SIZE = 500
const HISTORY_MS = 20_000

/** Parses a time of the platform's bodies, such as "1500ms" or "2.5s", to milliseconds. */
const parseTime = (text) => {
  const [, number, unit] = /^([\d.]+)(ms|s)$/.exec(text)
  return Number(number) * (unit === 's' ? 1_000 : 1)
}

/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it: revisions, watches, transactions, leases that end. */
export class Store {
  #revision = 1
  #items = new Map()
  #events = []
  #oldest = 0
  #leases = new Map()
  #nextLease = 77_000
  #waiting = new Set()
  #sockets = new Set()
  #server = createServer((message, response) => { this.#handle(message, response) })
  /** Whether the store is down: it accepts connections and answers nothing, and its leases pause. */
  #isDown = false
  #downSince = 0
  /** Called with each write of a host: its keys. */
  handleWrite = () => {}

  async start (ip) {
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => { this.#sockets.delete(socket) })
    })
    await new Promise((resolve) => { this.#server.listen(0, ip, resolve) })
    this.address = `${ip}:${this.#server.address().port}`
    this.timer = setInterval(() => { this.#endLeases() }, 20)
  }

  stop () {
    clearInterval(this.timer)
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }

  /** Writes a value as the operator or an upstream does; returns the revision. */
  put (key, value, lease = 0) {
    return this.#putText(key, Buffer.from(JSON.stringify(value)).toString('base64'), lease)
  }

  remove (key) {
    if (!this.#items.delete(key)) return
    this.#revision += 1
    this.#addEvent({ key, revision: this.#revision, tombstone: true })
  }

  get (key) {
    const item = this.#items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  listKeys (prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix)).sort()
  }

  /** Takes the store down, silently, or brings it back. */
  setDown (isDown) {
    const now = performance.now()
    if (isDown && !this.#isDown) this.#downSince = now
    if (!isDown && this.#isDown) {
      for (const lease of this.#leases.values()) lease.endsAt += now - this.#downSince
      for (const socket of this.#sockets) socket.destroy()
    }
    this.#isDown = isDown
  }

  #putText (key, value, lease) {
    this.#revision += 1
    const item = { key, value, revision: this.#revision, created_rev: this.#items.get(key)?.created_rev ?? this.#revision, lease }
    this.#items.set(key, item)
    this.#addEvent(item)
    return this.#revision
  }

  #addEvent (event) {
    const now = performance.now()
    this.#events.push({ event, at: now })
    while (this.#events.length > 0 && now - this.#events[0].at > HISTORY_MS) this.#oldest = this.#events.shift().event.revision
    for (const wake of this.#waiting) wake()
  }

  #endLeases () {
    if (this.#isDown) return
    const now = performance.now()
    for (const [id, { endsAt }] of this.#leases) if (now >= endsAt) this.#endLease(id)
  }

  #endLease (id) {
    this.#leases.delete(id)
    for (const item of [...this.#items.values()]) if (item.lease === id) this.remove(item.key)
  }

  async #handle (message, response) {
    const chunks = []
    for await (const chunk of message) chunks.push(chunk)
    if (this.#isDown) return
    const text = Buffer.concat(chunks).toString()
    const url = new URL(message.url, 'http://store')
    const [status, body] = await this.#answer(message.method, url, text === '' ? {} : JSON.parse(text))
    if (this.#isDown || response.destroyed) return
    response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': '1' }).end(JSON.stringify(body))
  }

  #answer (method, { pathname, searchParams }, body) {
    if (pathname === '/v1/kv-key') {
      const item = this.#items.get(searchParams.get('key'))
      return item === undefined ? [404, { store_revision: this.#revision }] : [200, { ...item, store_revision: this.#revision }]
    }
    if (pathname === '/v1/kv-range') return this.#listPage(searchParams)
    if (pathname === '/v1/kv-watch') return this.#watch(searchParams)
    if (pathname === '/v1/kv-txn') return this.#commit(body)
    if (pathname === '/v1/kv-lease') {
      this.#nextLease += 1
      const ttlMs = parseTime(body.ttl_time)
      this.#leases.set(this.#nextLease, { ttlMs, endsAt: performance.now() + ttlMs })
      return [200, { lease: this.#nextLease, ttl_time: body.ttl_time }]
    }
    const id = Number(pathname.split('/').at(-1))
    if (pathname.startsWith('/v1/kv-keep/')) {
      const lease = this.#leases.get(id)
      if (lease === undefined) return [404, {}]
      lease.endsAt = performance.now() + lease.ttlMs
      return [200, { ttl_time: `${lease.ttlMs}ms` }]
    }
    if (method === 'DELETE' && pathname.startsWith('/v1/kv-lease-end/')) {
      if (!this.#leases.has(id)) return [404, {}]
      this.#endLease(id)
      return [200, {}]
    }
    return [404, {}]
  }

  #listPage (query) {
    const after = query.get('after') ?? ''
    const keys = this.listKeys(query.get('path_prefix') ?? '').filter((key) => key > after)
    return [200, { items: keys.slice(0, PAGE_SIZE).map((key) => this.#items.get(key)), truncated: keys.length > PAGE_SIZE, store_revision: this.#revision }]
  }

  async #watch (query) {
    const after = Number(query.get('after'))
    const prefix = query.get('path_prefix') ?? ''
    const find = () => this.#events.map(({ event }) => event).filter(({ key, revision }) => revision > after && key.startsWith(prefix))
    if (after < this.#oldest || after > this.#revision) return [410, {}]
    const endsAt = performance.now() + Number(query.get('wait_ms'))
    while (find().length === 0 && performance.now() < endsAt) await this.#waitForEvent(endsAt - performance.now())
    return [200, { events: find(), store_revision: this.#revision }]
  }

  #waitForEvent (waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        this.#waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.#waiting.add(wake)
    })
  }

  #commit ({ expect = [], writes = [], deletes = [] }) {
    if (writes.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) return [404, {}]
    if (expect.some(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) !== revision)) return [412, { items: expect.flatMap(({ key }) => this.#items.get(key) ?? []) }]
    for (const { key, value, lease } of writes) this.#putText(key, value, lease)
    for (const key of deletes) this.remove(key)
    this.handleWrite(writes.map(({ key }) => key))
    return [200, { revision: this.#revision }]
  }
}
