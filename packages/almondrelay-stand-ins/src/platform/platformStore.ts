import type { PlatformEntry, PlatformPutResult, PlatformWatchResult } from 'almondrelay'

interface StoredEntry extends PlatformEntry {
  leaseId: string | undefined
}

interface Lease {
  ttlMs: number
  expiresAt: number
  keys: Set<string>
}

type PlatformEvent = PlatformWatchResult['events'][number]

/** Events kept for watches; a watch from before them gets the oldest that is left. */
const MAX_EVENTS = 200_000

/**
 * The platform's key-value service in memory: compare-and-swap, leases and sequenced events.
 * Versions go on counting after a deletion, so that a writer that waited over a deletion and a
 * new creation can't succeed with an old version. Times are milliseconds of one clock.
 */
export class PlatformStore {
  private readonly entries = new Map<string, StoredEntry>()
  private readonly lastVersions = new Map<string, number>()
  private readonly leases = new Map<string, Lease>()
  private events: PlatformEvent[] = []
  private sequence = 0
  private leaseCount = 0

  get (key: string, now: number): PlatformEntry | undefined {
    this.expireLeases(now)
    const entry = this.entries.get(key)
    return entry === undefined ? undefined : copyEntry(entry)
  }

  /** A write under a lease that has lapsed is not stored. */
  put (key: string, value: string, expectedVersion: number, leaseId: string | undefined, now: number): PlatformPutResult {
    this.expireLeases(now)
    const version = this.entries.get(key)?.version ?? 0
    const isLeaseGone = leaseId !== undefined && !this.leases.has(leaseId)
    if (version !== expectedVersion || isLeaseGone) return { stored: false, version }
    this.removeFromLease(key)
    const entry = { key, value, version: this.advanceVersion(key), leaseId }
    this.entries.set(key, entry)
    if (leaseId !== undefined) this.leases.get(leaseId)?.keys.add(key)
    this.appendEvent(entry, false)
    return { stored: true, version: entry.version }
  }

  delete (key: string, expectedVersion: number, now: number): PlatformPutResult {
    this.expireLeases(now)
    const version = this.entries.get(key)?.version ?? 0
    if (version === 0 || version !== expectedVersion) return { stored: false, version }
    this.removeKey(key)
    return { stored: true, version: 0 }
  }

  /** Entries under a prefix in key order, after the key `after`. */
  list (prefix: string, after: string, limit: number, now: number): PlatformEntry[] {
    this.expireLeases(now)
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(prefix) && key > after).sort()
    return keys.slice(0, limit).flatMap((key) => {
      const entry = this.entries.get(key)
      return entry === undefined ? [] : [copyEntry(entry)]
    })
  }

  /** Events under a prefix after a sequence; -1 asks for the present sequence alone. */
  readEvents (prefix: string, afterSequence: number, now: number): PlatformWatchResult {
    this.expireLeases(now)
    if (afterSequence < 0) return { events: [], sequence: this.sequence }
    const oldest = this.events[0]?.sequence ?? this.sequence + 1
    const start = Math.max(0, afterSequence + 1 - oldest)
    const events = this.events.slice(start).filter((event) => event.key.startsWith(prefix))
    return { events, sequence: this.sequence }
  }

  grantLease (ttlMs: number, now: number): string {
    this.leaseCount += 1
    const leaseId = `lease-${this.leaseCount}`
    this.leases.set(leaseId, { ttlMs, expiresAt: now + ttlMs, keys: new Set() })
    return leaseId
  }

  renewLease (leaseId: string, now: number): boolean {
    this.expireLeases(now)
    const lease = this.leases.get(leaseId)
    if (lease === undefined) return false
    lease.expiresAt = now + lease.ttlMs
    return true
  }

  releaseLease (leaseId: string): void {
    const lease = this.leases.get(leaseId)
    if (lease === undefined) return
    this.leases.delete(leaseId)
    for (const key of lease.keys) this.removeKey(key)
  }

  /** Drops the leases whose time has passed and the keys under them. */
  expireLeases (now: number): void {
    for (const [leaseId, lease] of this.leases) {
      if (lease.expiresAt <= now) this.releaseLease(leaseId)
    }
  }

  /** The sequence of the latest event. */
  getSequence (): number {
    return this.sequence
  }

  private removeKey (key: string): void {
    const entry = this.entries.get(key)
    if (entry === undefined) return
    this.removeFromLease(key)
    this.entries.delete(key)
    this.appendEvent({ ...entry, value: '', version: this.advanceVersion(key) }, true)
  }

  private removeFromLease (key: string): void {
    const leaseId = this.entries.get(key)?.leaseId
    if (leaseId !== undefined) this.leases.get(leaseId)?.keys.delete(key)
  }

  private advanceVersion (key: string): number {
    const version = (this.lastVersions.get(key) ?? 0) + 1
    this.lastVersions.set(key, version)
    return version
  }

  private appendEvent (entry: PlatformEntry, deleted: boolean): void {
    this.sequence += 1
    this.events.push({ ...copyEntry(entry), sequence: this.sequence, deleted })
    if (this.events.length > 2 * MAX_EVENTS) this.events = this.events.slice(-MAX_EVENTS)
  }
}

function copyEntry (entry: PlatformEntry): PlatformEntry {
  return { key: entry.key, value: entry.value, version: entry.version }
}
