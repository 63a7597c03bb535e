import { AlmondrelayError } from '../../errors/almondrelayError.js'
import { ErrorKind } from '../../errors/errorKind.js'
import type { Clock } from '../clock.js'
import { Platform } from '../platform.js'
import type { PlatformEntry } from '../platformEntry.js'
import type { PlatformHost } from '../platformHost.js'
import type { PlatformPutResult } from '../platformPutResult.js'
import type { PlatformWatchResult } from '../platformWatchResult.js'

type Event = PlatformEntry & { sequence: number, deleted: boolean }

interface Lease {
  ttlMs: number
  expiresAt: number
}

const TIMEOUT_MS = 1_000

/** Injected platform faults; each stays active until it is reset or used up. */
class FakePlatformFaults {
  /** No call is answered. */
  outage = false
  /** Delay before a call takes effect. */
  slowMs = 0
  /** Number of next writes that take effect but whose answers are lost. */
  lostAnswers = 0
  /** Number of next writes that are lost before they take effect. */
  lostWrites = 0
  /** When positive, the next write takes effect only this long after its timeout. */
  lateWriteMs = 0
  /** Watches report no events and end only when their waiting time is over. */
  watchesStopped = false
}

/** In-memory platform in virtual time, shared by the hosts of a test. */
export class FakePlatform extends Platform {
  readonly faults = new FakePlatformFaults()
  /** Number of calls by method, to check the load on the platform. */
  readonly calls = new Map<string, number>()
  hosts: PlatformHost[] = []
  private readonly entries = new Map<string, PlatformEntry & { leaseId?: string }>()
  private readonly leases = new Map<string, Lease>()
  private readonly events: Event[] = []
  private waiting: Array<() => void> = []
  private nextLease = 1

  constructor (private readonly clock: Clock) {
    super()
  }

  async get (key: string, signal: AbortSignal): Promise<PlatformEntry | undefined> {
    await this.begin('get', signal)
    const entry = this.entries.get(key)
    return entry === undefined ? undefined : copyEntry(entry)
  }

  async put (key: string, value: string, expectedVersion: number, signal: AbortSignal, leaseId?: string): Promise<PlatformPutResult> {
    return await this.write('put', () => this.applyPut(key, value, expectedVersion, leaseId), signal)
  }

  async delete (key: string, expectedVersion: number, signal: AbortSignal): Promise<PlatformPutResult> {
    return await this.write('delete', () => this.applyDelete(key, expectedVersion), signal)
  }

  async list (prefix: string, after: string, limit: number, signal: AbortSignal): Promise<PlatformEntry[]> {
    await this.begin('list', signal)
    return [...this.entries.values()]
      .filter((entry) => entry.key.startsWith(prefix) && entry.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, limit)
      .map(copyEntry)
  }

  async watch (prefix: string, afterSequence: number, waitMs: number, signal: AbortSignal): Promise<PlatformWatchResult> {
    await this.begin('watch', signal)
    if (afterSequence < 0) return { events: [], sequence: this.events.length }
    const listFound = () => this.faults.watchesStopped ? [] : this.events.slice(afterSequence).filter((event) => event.key.startsWith(prefix))
    if (listFound().length === 0) await this.waitForEvent(prefix, waitMs, signal)
    if (this.faults.outage || signal.aborted) throw makeUnavailable('watch')
    const events = listFound()
    return { events, sequence: this.faults.watchesStopped ? afterSequence : this.events.length }
  }

  async grantLease (ttlMs: number, signal: AbortSignal): Promise<string> {
    await this.begin('grantLease', signal)
    const leaseId = `lease-${this.nextLease++}`
    this.leases.set(leaseId, { ttlMs, expiresAt: this.clock.getNow() + ttlMs })
    return leaseId
  }

  async renewLease (leaseId: string, signal: AbortSignal): Promise<boolean> {
    await this.begin('renewLease', signal)
    const lease = this.leases.get(leaseId)
    if (lease !== undefined) lease.expiresAt = this.clock.getNow() + lease.ttlMs
    return lease !== undefined
  }

  async releaseLease (leaseId: string, signal: AbortSignal): Promise<void> {
    await this.begin('releaseLease', signal)
    this.expireLease(leaseId)
  }

  async listHosts (signal: AbortSignal): Promise<PlatformHost[]> {
    await this.begin('listHosts', signal)
    return structuredClone(this.hosts)
  }

  /** Expires a lease as the platform does when its holder is paused for too long. */
  expireLease (leaseId: string): void {
    if (!this.leases.delete(leaseId)) return
    for (const entry of [...this.entries.values()]) {
      if (entry.leaseId === leaseId) this.applyDelete(entry.key, entry.version)
    }
  }

  /** Returns a copy of the present entries, from which the platform may return later. */
  copy (): ReadonlyMap<string, PlatformEntry> {
    return new Map(this.entries)
  }

  /** Returns from a copy: what was written since is gone. */
  returnFrom (copy: ReadonlyMap<string, PlatformEntry>): void {
    this.entries.clear()
    for (const [key, entry] of copy) this.entries.set(key, entry)
  }

  countCalls (): number {
    return [...this.calls.values()].reduce((sum, count) => sum + count, 0)
  }

  private async begin (method: string, signal: AbortSignal): Promise<void> {
    this.calls.set(method, (this.calls.get(method) ?? 0) + 1)
    if (this.faults.outage || this.faults.slowMs > TIMEOUT_MS) await this.waitUntilTimeout(method, signal)
    if (this.faults.slowMs > 0) await this.clock.sleep(this.faults.slowMs, signal)
    if (signal.aborted || this.faults.outage) throw makeUnavailable(method)
    const now = this.clock.getNow()
    for (const [leaseId, lease] of this.leases) if (lease.expiresAt <= now) this.expireLease(leaseId)
  }

  private async waitUntilTimeout (method: string, signal: AbortSignal): Promise<never> {
    await this.clock.sleep(TIMEOUT_MS, signal)
    throw makeUnavailable(method)
  }

  private async write (method: string, apply: () => PlatformPutResult, signal: AbortSignal): Promise<PlatformPutResult> {
    await this.begin(method, signal)
    if (this.faults.lostWrites > 0) {
      this.faults.lostWrites -= 1
      return await this.waitUntilTimeout(method, signal)
    }
    if (this.faults.lateWriteMs > 0) {
      const lateMs = TIMEOUT_MS + this.faults.lateWriteMs
      this.faults.lateWriteMs = 0
      this.clock.sleep(lateMs, new AbortController().signal).then(apply).catch(() => {})
      return await this.waitUntilTimeout(method, signal)
    }
    const result = apply()
    if (this.faults.lostAnswers === 0) return result
    this.faults.lostAnswers -= 1
    return await this.waitUntilTimeout(method, signal)
  }

  private applyPut (key: string, value: string, expectedVersion: number, leaseId?: string): PlatformPutResult {
    const version = this.entries.get(key)?.version ?? 0
    if (version !== expectedVersion) return { stored: false, version }
    const entry = { key, value, version: version + 1 }
    this.entries.set(key, leaseId === undefined ? entry : { ...entry, leaseId })
    this.addEvent({ ...entry, deleted: false })
    return { stored: true, version: version + 1 }
  }

  private applyDelete (key: string, expectedVersion: number): PlatformPutResult {
    const version = this.entries.get(key)?.version ?? 0
    if (version !== expectedVersion) return { stored: false, version }
    this.entries.delete(key)
    this.addEvent({ key, value: '', version, deleted: true })
    return { stored: true, version: 0 }
  }

  private addEvent (event: Omit<Event, 'sequence'>): void {
    this.events.push({ ...event, sequence: this.events.length + 1 })
    const waiting = this.waiting
    this.waiting = []
    for (const wake of waiting) wake()
  }

  private async waitForEvent (prefix: string, waitMs: number, signal: AbortSignal): Promise<void> {
    const begunAt = this.events.length
    const wait = new AbortController()
    const cancel = () => { wait.abort() }
    signal.addEventListener('abort', cancel, { once: true })
    const wake = () => {
      const matching = this.events.slice(begunAt).some((event) => event.key.startsWith(prefix))
      if (matching && !this.faults.watchesStopped) cancel()
      else this.waiting.push(wake)
    }
    this.waiting.push(wake)
    await this.clock.sleep(waitMs, wait.signal)
    this.waiting = this.waiting.filter((each) => each !== wake)
    signal.removeEventListener('abort', cancel)
  }
}

const copyEntry = (entry: PlatformEntry): PlatformEntry => ({ key: entry.key, value: entry.value, version: entry.version })

function makeUnavailable (method: string): AlmondrelayError {
  return new AlmondrelayError({ kind: ErrorKind.platformUnavailable, message: `no answer from the platform to ${method}`, remedy: 'check that it runs' })
}
