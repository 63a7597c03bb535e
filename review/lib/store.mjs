// Stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store"), in memory, without faults of its own.
import { createServer } from 'node:http'

const PAGE_SIZE = 500

export class Store {
  /** Whether calls are read and not answered. */
  isSilent = false
  #revision = 1
  #items = new Map()
  #events = []
  #leases = new Map()
  #nextLease = 1
  #waiting = new Set()
  #servers = []

  async start (ip) {
    this.address = await this.listen(ip, (item) => item)
  }

  /** Opens one more port, at which items are read as `translate` returns them; resolves with its address. */
  async listen (ip, translate) {
    const server = createServer((message, response) => { this.#serve(message, response, translate).catch(() => { response.destroy() }) })
    this.#servers.push(server)
    await new Promise((resolve) => { server.listen(0, ip, resolve) })
    return `${ip}:${server.address().port}`
  }

  stop () {
    for (const { timer } of this.#leases.values()) clearTimeout(timer)
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  write (key, value, lease = 0) {
    this.#put(key, Buffer.from(JSON.stringify(value)).toString('base64'), lease)
  }

  remove (key) {
    if (!this.#items.delete(key)) return
    this.#revision += 1
    this.#add({ key, revision: this.#revision, tombstone: true })
  }

  #put (key, value, lease) {
    this.#revision += 1
    const item = { key, value, revision: this.#revision, created_rev: this.#items.get(key)?.created_rev ?? this.#revision, lease }
    this.#items.set(key, item)
    this.#add(item)
  }

  #add (event) {
    this.#events.push(event)
    for (const wake of [...this.#waiting]) wake()
  }

  async #serve (message, response, translate) {
    const chunks = []
    for await (const chunk of message) chunks.push(chunk)
    if (this.isSilent) return
    const url = new URL(message.url, 'http://store')
    const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString())
    const [status, answer] = await this.#answer(message.method, url, body)
    const translateAll = (list) => list?.map((item) => item.value === undefined ? item : translate(item))
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify({ ...answer, items: translateAll(answer.items), events: translateAll(answer.events) }))
  }

  async #answer (method, { pathname, searchParams }, body) {
    const id = Number(pathname.split('/').at(-1))
    if (pathname === '/v1/kv-key') return this.#answerKey(searchParams.get('key'))
    if (pathname === '/v1/kv-range') return this.#answerRange(searchParams.get('path_prefix') ?? '', searchParams.get('after') ?? '')
    if (pathname === '/v1/kv-watch') return this.#answerWatch(searchParams.get('path_prefix') ?? '', Number(searchParams.get('after')), Number(searchParams.get('wait_ms')))
    if (pathname === '/v1/kv-txn') return this.#answerTransaction(body)
    if (pathname === '/v1/kv-lease') return this.#answerLease(Number.parseFloat(body.ttl_time) * (body.ttl_time.endsWith('ms') ? 1 : 1_000))
    if (pathname.startsWith('/v1/kv-keep/')) return this.#leases.has(id) ? [200, { lease: id, ttl_time: `${this.#renew(id)}ms` }] : [404, {}]
    if (method === 'DELETE' && pathname.startsWith('/v1/kv-lease-end/')) return this.#leases.has(id) ? [200, this.#endLease(id)] : [404, {}]
    return [404, {}]
  }

  #answerKey (key) {
    const item = this.#items.get(key)
    return item === undefined ? [404, { store_revision: this.#revision }] : [200, { ...item, store_revision: this.#revision }]
  }

  #answerRange (prefix, after) {
    const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort()
    return [200, { items: keys.slice(0, PAGE_SIZE).map((key) => this.#items.get(key)), truncated: keys.length > PAGE_SIZE, store_revision: this.#revision }]
  }

  async #answerWatch (prefix, after, waitMs) {
    const find = () => this.#events.filter((event) => event.revision > after && event.key.startsWith(prefix))
    if (after > this.#revision) return [410, {}]
    const end = performance.now() + waitMs
    while (find().length === 0 && performance.now() < end) await this.#wait(end - performance.now())
    return [200, { events: find(), store_revision: this.#revision }]
  }

  #wait (ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        this.#waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, ms)
      this.#waiting.add(wake)
    })
  }

  #answerTransaction ({ expect = [], writes = [], deletes = [] }) {
    if (!expect.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision)) return [412, { items: expect.flatMap(({ key }) => this.#items.get(key) ?? []) }]
    if (writes.some(({ lease }) => lease > 0 && !this.#leases.has(lease))) return [404, {}]
    for (const { key, value, lease } of writes) this.#put(key, value, lease ?? 0)
    for (const key of deletes) this.remove(key)
    return [200, { revision: this.#revision }]
  }

  #answerLease (ttlMs) {
    const id = this.#nextLease
    this.#nextLease += 1
    this.#leases.set(id, { ttlMs, timer: undefined })
    this.#renew(id)
    return [200, { lease: id, ttl_time: `${ttlMs}ms` }]
  }

  #renew (id) {
    const lease = this.#leases.get(id)
    clearTimeout(lease.timer)
    lease.timer = setTimeout(() => { this.#endLease(id) }, lease.ttlMs)
    return lease.ttlMs
  }

  #endLease (id) {
    clearTimeout(this.#leases.get(id)?.timer)
    this.#leases.delete(id)
    for (const item of [...this.#items.values()]) if (item.lease === id) this.remove(item.key)
    return {}
  }
}
