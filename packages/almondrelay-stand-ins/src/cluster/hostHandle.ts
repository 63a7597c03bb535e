import { sendJson } from '../network/sendJson.js'
import { ChildProgram } from './childProgram.js'
import type { HostPlan } from './hostPlan.js'
import { resolveProgram } from './resolveProgram.js'

interface HostStatus {
  /** The revision in force at this host. */
  revision: number
  /** Whether it has a configuration, the empty one of a new deployment included. */
  isReady: boolean
  [part: string]: unknown
}

interface HostHandleParts {
  plan: HostPlan
  settingsFile: string
  /** The relay for each address that the host connects to; empty without relays. */
  redirects: Record<string, string>
  /** Drops the daemon's log. */
  isSilent: boolean
  signal: AbortSignal
}

const REDIRECTS = new URL('redirectConnections.js', import.meta.url).href
const STEP_MS = 25
/** Milliseconds after which a host that isn't ready counts as one that never will be; see ChildProgram. */
const READY_LIMIT_MS = 60_000

/** One entry host of a cluster: an `almondrelayd` that can be killed, frozen, stopped and started again. */
export class HostHandle {
  private running: ChildProgram

  private constructor (private readonly parts: HostHandleParts) {
    this.running = this.startProgram()
  }

  /** Starts the daemon and waits until its operator port answers. */
  static async start (parts: HostHandleParts): Promise<HostHandle> {
    const host = new HostHandle(parts)
    await host.waitUntilAnswering()
    return host
  }

  get plan (): HostPlan {
    return this.parts.plan
  }

  get name (): string {
    return this.plan.name
  }

  get program (): ChildProgram {
    return this.running
  }

  /** Starts it again, with a new incarnation, after it was killed or stopped. */
  async restart (): Promise<void> {
    if (this.running.isRunning()) throw new Error(`host ${this.name} runs: kill or stop it first`)
    this.running = this.startProgram()
    await this.waitUntilAnswering()
  }

  /** What the host says of itself and the deployment; rejects where it doesn't answer. */
  async readStatus (): Promise<HostStatus> {
    const reply = await sendJson({ method: 'GET', address: this.plan.operator, path: '/v1/status', signal: AbortSignal.timeout(2_000) })
    return reply.body as HostStatus
  }

  /** Waits until a status satisfies; rejects with the last one. */
  async waitForStatus (isWanted: (status: HostStatus) => boolean, limitMs = READY_LIMIT_MS): Promise<HostStatus> {
    const until = performance.now() + limitMs
    let last: HostStatus | undefined
    while (performance.now() < until) {
      this.parts.signal.throwIfAborted()
      last = await this.readStatus().catch(() => undefined)
      if (last !== undefined && isWanted(last)) return last
      if (!this.running.isRunning()) break
      await new Promise((resolve) => setTimeout(resolve, STEP_MS))
    }
    throw new Error(`host ${this.name} ${this.running.isRunning() ? 'is late' : 'has ended'}; status ${JSON.stringify(last)}; it wrote:\n${this.running.lines.slice(-20).join('\n')}`)
  }

  private async waitUntilAnswering (): Promise<void> {
    await this.waitForStatus(() => true)
  }

  private startProgram (): ChildProgram {
    const { plan, settingsFile, redirects, isSilent, signal } = this.parts
    const isRedirected = Object.keys(redirects).length > 0
    return ChildProgram.start({
      name: `host ${plan.name}`,
      args: ['--enable-source-maps', ...(isRedirected ? ['--import', REDIRECTS] : []), resolveProgram('almondrelayd'), '--settings', settingsFile],
      environment: { ALMONDRELAY_TEST_RELAYS: JSON.stringify(redirects) },
      isSilent,
      signal
    })
  }
}
