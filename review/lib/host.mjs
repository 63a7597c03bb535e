// Starts one host of the system as a process of its own, by the run line and the settings template of deploy/system.toml.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { fillTemplate } from './template.mjs'

const REPOSITORY = fileURLToPath(new URL('../../', import.meta.url))
const START_TIMEOUT_MS = 10_000

/** Finds different free ports: all are held until the last one is found. */
async function findFreePorts (ip, count) {
  const servers = Array.from({ length: count }, () => createServer())
  for (const server of servers) await new Promise((resolve, reject) => { server.once('error', reject).listen(0, ip, resolve) })
  const ports = servers.map((server) => server.address().port)
  for (const server of servers) await new Promise((resolve) => { server.close(resolve) })
  return ports
}

export class Host {
  #folder = mkdtempSync(path.join(tmpdir(), 'review-'))
  #child

  /** @param bounds bounds of the deployment that differ from those of kgv-relay, for example { grace: '6s' } */
  constructor (name, ip, { zone, region, zones, storeAddress, bounds = {} }) {
    this.name = name
    this.ip = ip
    this.deployment = { zone, region, zones, storeAddress, bounds }
    this.log = ''
  }

  async start () {
    const { ip } = this
    const { zone, region, zones, storeAddress, bounds } = this.deployment
    const [front, ready, directory, ...inner] = await findFreePorts(ip, 5)
    this.ports ??= { front, ready, directory, inner }
    const { ports } = this
    const fields = {
      node_name: this.name,
      ip,
      zone,
      region,
      zones,
      listen: { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, directory: `${ip}:${ports.directory}` },
      internal_ports: ports.inner,
      platform: { address: storeAddress, writes_per_s: 400, reads_per_s: 2_000, min_ttl: '1000ms' },
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'places', 'platform'],
      bounds: { grace: '6s', retry_budget_ratio: 0.2, budget_extra: 56, budget_window: '10s', ttl_max: '5s', max_shift: 0.15, drain: '2500ms', config_apply: '2500ms', ...bounds }
    }
    const deploy = readFileSync(path.join(REPOSITORY, 'deploy/system.toml'), 'utf8')
    const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    const template = readFileSync(path.join(REPOSITORY, /^template = "(.*)"$/m.exec(deploy)[1]), 'utf8')
    const file = path.join(this.#folder, 'settings.jsonc')
    writeFileSync(file, fillTemplate(template, fields))
    this.#child = spawn(program, words, { cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, ALMONDRELAY_CONFIG: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const child = this.#child
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (bytes) => { this.log += bytes.toString() })
    this.exited = new Promise((resolve) => { child.once('exit', (code, signal) => { this.exitedAt = performance.now(); resolve(code ?? signal) }) })
    child.once('error', () => undefined)
    await this.#waitUntilReady()
  }

  kill (signal) {
    this.#child?.kill(signal)
  }

  get pid () {
    return this.#child?.pid
  }

  async isReady () {
    return fetch(`http://${this.ip}:${this.ports.ready}/v1/ready`, { signal: AbortSignal.timeout(1_000) }).then(({ status }) => status === 200, () => false)
  }

  /** Asks the directory of this host where to connect. */
  async resolve () {
    const answer = await fetch(`http://${this.ip}:${this.ports.directory}/v1/resolve?name=a.example&region=${this.deployment.region}&zone=${this.deployment.zone}`, { signal: AbortSignal.timeout(1_000) })
    return answer.json()
  }

  async remove () {
    if (this.#child?.exitCode === null && this.#child.signalCode === null) this.kill('SIGKILL')
    if (this.#child !== undefined) await this.exited
    rmSync(this.#folder, { recursive: true, force: true })
  }

  async #waitUntilReady () {
    const end = performance.now() + START_TIMEOUT_MS
    while (performance.now() < end) {
      if (await this.isReady()) return
      await new Promise((resolve) => { setTimeout(resolve, 50) })
    }
    throw new Error(`${this.name} did not become ready: ${this.log.slice(-2_000)}`)
  }
}
