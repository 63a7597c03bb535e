// A small deployment for one script: a store, upstreams and hosts, each host on a loopback address of its own; and the record of what happened.
import { writeFileSync } from 'node:fs'
import path from 'node:path'
import { Host } from './host.mjs'
import { Link } from './link.mjs'
import { Store } from './store.mjs'
import { Upstream } from './upstream.mjs'

const ZONES = { 'tpe-neihu': 'tpe', 'tpe-nangang': 'tpe' }

export class Deployment {
  #lines = []
  #startedAt = performance.now()
  hosts = []
  upstreams = []

  /** @param folder folder of the script, in which record.txt is written */
  constructor (folder) {
    this.folder = folder
    this.store = new Store()
    this.record = (text) => { this.#lines.push(`${((performance.now() - this.#startedAt) / 1_000).toFixed(3)} s  ${text}`) }
  }

  /** Loopback address number `n` of this run; the run's process id keeps runs apart. */
  ip (n) {
    return `127.${1 + (process.pid >> 8) % 200}.${process.pid % 256}.${n}`
  }

  async startStore () {
    await this.store.start(this.ip(1))
  }

  async addUpstream (id, service, options) {
    const upstream = new Upstream(id, service, { ip: this.ip(100 + this.upstreams.length), zone: Object.keys(ZONES)[this.upstreams.length % 2], store: this.store, record: this.record, ...options })
    this.upstreams.push(upstream)
    await upstream.start()
    return upstream
  }

  /** Adds a host with a link of its own to each upstream that there is now. */
  async addLinkedHost () {
    const n = this.hosts.length
    const links = await Promise.all(this.upstreams.map(async ({ address }) => {
      const link = new Link(this.ip(200 + n), address)
      await link.start()
      return link
    }))
    const translate = (item) => {
      if (!item.key.startsWith('servers/')) return item
      const entry = JSON.parse(Buffer.from(item.value, 'base64').toString())
      const address = links.find(({ target }) => target === entry.address)?.address ?? entry.address
      return { ...item, value: Buffer.from(JSON.stringify({ ...entry, address })).toString('base64') }
    }
    const host = await this.addHost(undefined, await this.store.listen(this.ip(1), translate))
    host.links = links
    return host
  }

  async addHost (bounds, storeAddress = this.store.address) {
    const n = this.hosts.length
    const host = new Host(`front-${n + 1}`, this.ip(10 + n), { zone: Object.keys(ZONES)[n % 2], region: 'tpe', zones: ZONES, storeAddress, bounds })
    this.hosts.push(host)
    await host.start()
    this.record(`${host.name} is ready, process ${host.pid}`)
    return host
  }

  /** @param rules routes: { prefix, kind, service, timeout } */
  configure (version, rules) {
    const listener = { host: 'a.example', rule_set: rules.map(({ prefix, kind, service, timeout, latency = '1000ms' }) => ({ name: `r${prefix.replaceAll('/', '-')}`, kind, target_latency: latency, priority: 1, session_affinity: true, match: { path_prefix: prefix }, action: { service, timeout, max_attempts: 2, allowed_regions: [] } })) }
    const services = [...new Set(rules.map(({ service }) => service))]
    this.store.write('op/config', {
      version: version.toString(16).padStart(8, '0'),
      limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: '3000ms', idle_timeout: '15000ms' },
      base_version: '00000000',
      listeners: [listener],
      clusters: services.map((name) => ({ name, health_path: '/health', max_conns: 330, protocol: 'h1', tls: false, cold_start: '3s', cold_per_s: 11 }))
    })
    this.record(`configuration ${version} is confirmed, routes ${rules.map(({ prefix, kind }) => `${prefix} (${kind})`).join(', ')}`)
  }

  async stop () {
    for (const host of this.hosts) await host.remove()
    for (const { links } of this.hosts) links?.forEach((link) => { link.stop() })
    for (const upstream of this.upstreams) upstream.stop()
    this.store.stop()
    writeFileSync(path.join(this.folder, 'record.txt'), `${this.#lines.join('\n')}\n`)
  }
}

/** Runs a case: exits with 1 if its rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (folder, play) {
  const deployment = new Deployment(folder)
  const limit = setTimeout(() => { deployment.record('out of time'); deployment.stop().finally(() => { process.exit(2) }) }, 110_000)
  let code = 2
  try {
    await deployment.startStore()
    const isBroken = await play(deployment, process.env.TROUBLE !== '0')
    code = isBroken ? 1 : 0
    deployment.record(isBroken ? 'the rule was broken' : 'the rule held')
  } catch (error) {
    deployment.record(`the case could not run: ${error.stack}`)
  }
  await deployment.stop()
  clearTimeout(limit)
  process.exit(code)
}

export function sleep (ms) {
  return new Promise((resolve) => { setTimeout(resolve, Math.max(0, ms)) })
}
