import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync, appendFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

export const root = fileURLToPath(new URL('../../', import.meta.url))

const readRunLine = () => /^run = "(.*)"$/m.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))[1].split(' ')

/** Hosts that run: whatever ends a script ends them too. */
const running = new Set()
for (const name of ['SIGINT', 'SIGTERM']) process.on(name, () => { process.exit(2) })
process.on('exit', () => {
  for (const host of running) host.kill('SIGKILL')
})

const findFreePort = (ip) => new Promise((resolve) => {
  const server = createServer()
  server.listen(0, ip, () => {
    const { port } = server.address()
    server.close(() => { resolve(port) })
  })
})

/** Runs the program of the deploy file as a process of its own, on an address of its own of the loopback network. */
export class Host {
  output = ''
  exitedAt = undefined
  #folder = mkdtempSync(path.join(tmpdir(), 'review-host-'))

  /** @param bounds fields of `bounds` of the settings that differ from the site kowhai-leave */
  constructor ({ name, ip, zone, zones, storeAddress, memoryMb = 350, bounds = {} }) {
    Object.assign(this, { name, ip, zone, zones, storeAddress, memoryMb, bounds })
  }

  async start () {
    const ports = []
    while (ports.length < 6) {
      const port = await findFreePort(this.ip)
      if (!ports.includes(port)) ports.push(port)
    }
    const [callerPort, readinessPort, lookupPort, peerPort, operatorPort, metricsPort] = ports
    Object.assign(this, { callerPort, readinessPort, lookupPort, metricsPort })
    const settings = {
      host: { name: this.name, ip: this.ip, availabilityZone: this.zone, region: this.zones[this.zone] },
      listen: { callers: `${this.ip}:${callerPort}`, readiness: `${this.ip}:${readinessPort}`, lookups: `${this.ip}:${lookupPort}` },
      peerPorts: [peerPort, operatorPort],
      availabilityZones: this.zones,
      platform: { address: this.storeAddress, writesPerSecond: 400, readsPerSecond: 2000, shortestLease: '1000ms', contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'places', 'platform'] },
      limits: { memoryMb: this.memoryMb },
      bounds: { stopGrace: '6s', retryRatio: 0.2, retryExtra: 60, retryWindow: '10s', longestLookupLife: '5s', shiftPart: 0.15, leavingInForce: '2500ms', configurationInForce: '2500ms', ...this.bounds },
      metrics: { port: metricsPort, path: '/metrics' },
      log: { level: 'info' }
    }
    this.file = path.join(this.#folder, 'settings.jsonc')
    writeFileSync(this.file, JSON.stringify(settings))
    await this.run()
  }

  /** Starts the process, again after an end, and waits until it says that it is ready. */
  async run () {
    const [program, ...args] = readRunLine()
    this.exitedAt = undefined
    const child = spawn(program, args, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, ALMONDRELAY_CONFIG: this.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.child = child
    running.add(this)
    this.exit = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        this.exitedAt = performance.now()
        this.exitReason = signal ?? code
        resolve(signal ?? code)
      })
    })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (bytes) => { this.output += bytes })
    for (let poll = 0; poll < 500; poll += 1) {
      if (this.exitedAt !== undefined) break
      if (await this.isReady()) return
      await new Promise((resolve) => { setTimeout(resolve, 20) })
    }
    throw new Error(`${this.name} did not become ready: ${this.output.slice(-2000)}`)
  }

  isReady () {
    return fetch(`http://${this.ip}:${this.readinessPort}/v1/ready`, { signal: AbortSignal.timeout(1_000) }).then(({ status }) => status === 200, () => false)
  }

  async resolve (region, zone) {
    const answer = await fetch(`http://${this.ip}:${this.lookupPort}/v1/resolve?name=a.example&region=${region}&zone=${zone}`, { signal: AbortSignal.timeout(1_000) })
    return answer.status === 200 ? (await answer.json()).addresses : undefined
  }

  get callerAddress () {
    return `${this.ip}:${this.callerPort}`
  }

  /** Resident memory of the process and its peak, in MB; undefined if the process has ended. */
  readMemory () {
    try {
      const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8')
      const read = (name) => Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(status)?.[1]) / 1024
      return { now: read('VmRSS'), peak: read('VmHWM') }
    } catch {
      return undefined
    }
  }

  kill (signal) {
    this.child?.kill(signal)
  }

  async remove (logFile) {
    this.kill('SIGCONT')
    this.kill('SIGKILL')
    await this.exit
    running.delete(this)
    if (logFile !== undefined) appendFileSync(logFile, this.output)
    rmSync(this.#folder, { recursive: true })
  }
}
