import { setTimeout as sleepFor } from 'node:timers/promises'
import { CallRate } from './callRate.js'
import { LaggingHostList } from './laggingHostList.js'
import { PlatformCallKind } from './platformCallKind.js'
import { PlatformFaults } from './platformFaults.js'

/** What a call meets before it takes effect. */
type CallVerdict = 'go' | 'refuse' | 'hang' | 'limited'

const WRITES: readonly PlatformCallKind[] = [PlatformCallKind.put, PlatformCallKind.delete, PlatformCallKind.grantLease, PlatformCallKind.renewLease, PlatformCallKind.releaseLease]

/** Fault switches in force, the calls counted and the host list of one platform stand-in. */
export class PlatformControl {
  readonly hosts: LaggingHostList
  private faults = PlatformFaults.parse({})
  private readonly counts = new Map<string, number>()
  private readonly reads = new CallRate()
  private readonly writes = new CallRate()

  constructor (hostListLagMs: number) {
    this.hosts = new LaggingHostList(hostListLagMs)
  }

  setFaults (faults: PlatformFaults, now: number): void {
    this.faults = faults
    if (faults.hostListLagMs !== undefined) this.hosts.setLag(faults.hostListLagMs)
    this.hosts.setFrozen(faults.hostListFrozen, now)
  }

  getFaults (): PlatformFaults {
    return this.faults
  }

  /** Calls by kind, and by what the faults made of them. */
  getCounts (): Record<string, number> {
    return Object.fromEntries(this.counts)
  }

  decideCall (kind: PlatformCallKind, now: number): CallVerdict {
    this.addCount(kind)
    if (this.faults.outage !== undefined) {
      this.addCount('failed')
      return this.faults.outage
    }
    const limit = this.faults.rateLimit
    if (limit === undefined) return 'go'
    const allowed = WRITES.includes(kind) ? this.writes.allow(limit.writes, now) : this.reads.allow(limit.reads, now)
    if (!allowed) this.addCount('limited')
    return allowed ? 'go' : 'limited'
  }

  /** Whether the answer of a write that has taken effect is to be lost. */
  takeLostAnswer (kind: PlatformCallKind): boolean {
    if (!WRITES.includes(kind) || this.faults.loseAnswersAfterWrite === 0) return false
    this.faults = { ...this.faults, loseAnswersAfterWrite: this.faults.loseAnswersAfterWrite - 1 }
    this.addCount('answersLost')
    return true
  }

  async sleepAsSlow (signal: AbortSignal): Promise<void> {
    if (this.faults.slowMs > 0) await sleepFor(this.faults.slowMs, undefined, { signal })
  }

  private addCount (name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1)
  }
}
