// A link from one host to one upstream: passes bytes on; while it is cut it holds what was sent and lets new connections hang, or resets them.
import { connect, createServer } from 'node:net'

export class Link {
  #pairs = new Set()
  #isCut = false
  #resets = false
  #server = createServer((near) => { this.#accept(near) })

  constructor (ip, target) {
    this.ip = ip
    this.target = target
  }

  async start () {
    await new Promise((resolve) => { this.#server.listen(0, this.ip, resolve) })
    this.address = `${this.ip}:${this.#server.address().port}`
  }

  /** @param resets whether the open connections are reset, and new ones too, instead of hanging */
  cut (resets) {
    this.#isCut = true
    this.#resets = resets
    if (resets) for (const pair of this.#pairs) pair.near.resetAndDestroy()
  }

  heal () {
    this.#isCut = false
    for (const pair of this.#pairs) pair.flush()
  }

  stop () {
    for (const { near, far } of this.#pairs) {
      near.destroy()
      far?.destroy()
    }
    this.#server.close()
  }

  #accept (near) {
    if (this.#isCut && this.#resets) {
      near.on('error', () => undefined)
      near.resetAndDestroy()
      return
    }
    const [ip, port] = this.target.split(':')
    const far = connect({ host: ip, port: Number(port) })
    const held = []
    const pass = (action) => { if (this.#isCut) held.push(action); else action() }
    const pair = { near, far, flush: () => { for (const action of held.splice(0)) action() } }
    this.#pairs.add(pair)
    const join = (from, to) => {
      from.setNoDelay(true)
      from.on('data', (bytes) => { pass(() => { if (!to.destroyed) to.write(bytes) }) })
      from.on('end', () => { pass(() => { to.end() }) })
      from.on('error', () => { pass(() => { to.resetAndDestroy() }) })
      from.on('close', () => { if (near.destroyed && far.destroyed) this.#pairs.delete(pair) })
    }
    join(near, far)
    join(far, near)
  }
}
