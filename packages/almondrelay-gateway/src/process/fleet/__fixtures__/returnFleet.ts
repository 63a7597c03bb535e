import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import { FakeRevisionStore } from './fakeRevisionStore.js'
import { ModelHost } from './modelHost.js'
import { SuspendableClock } from './suspendableClock.js'
import { VirtualClock } from './virtualClock.js'

const HOSTS = 10
const TARGETS = 12
const ZONES = ['akl-a', 'akl-b']
const HEARTBEAT_MS = 500
/** Milliseconds within which a change must be known at every host that reaches store and peers, and before which they must have done so. */
const BOUND_MS = 4_000
const STABLE_MS = 4_000
/** Milliseconds after a return within which writers write again what the store has lost. */
const REWRITE_MS = 1_500
const DATAGRAM_MS = 20
/** Milliseconds between checks that hosts have applied what they count as known. */
const POSITION_CHECK_MS = 100

interface Span {
  from: number
  until: number
}

interface Fault extends Span {
  kind: 'outage' | 'cut' | 'restart' | 'suspension'
  /** Hosts that are concerned; all for an outage. */
  hosts: readonly number[]
}

const HOST_FAULTS = ['cut', 'restart', 'suspension'] as const

/** What each host must know from a time on. */
interface Duty {
  at: number
  what: string
  isMet: (host: ModelHost) => boolean
  /** Whether a later write has made it void. */
  isVoid: () => boolean
}

/**
 * Model in virtual time of a region whose hosts rely on its watchers: targets and operators write, the store is away and returns from
 * copies, hosts are cut off from the store and restarted, and datagrams are lost.
 */
export class ReturnFleet {
  /** Changes that a host which reached store and peers did not know in time. */
  readonly violations: string[] = []
  readonly clock = new VirtualClock()
  readonly store = new FakeRevisionStore()
  readonly faults: Fault[] = []
  private readonly hosts: ModelHost[] = []
  /** What the writers want the store to hold, by key. */
  private readonly wanted = new Map<string, object | undefined>()
  private readonly writtenAt = new Map<string, number>()
  private version = 1
  /** Configurations are so large that watchers relay them as differences. */
  padded = false

  constructor (private readonly random: () => number, private readonly loss: number) {
    this.put('configuration', { version: 1 })
    for (let index = 0; index < TARGETS; index += 1) this.put(`target/${index}`, { ...makeTarget({ id: String(index), port: 8_000 + index }).entry, sequence: 1 })
    for (let index = 0; index < HOSTS; index += 1) this.startHost(index)
  }

  async run (untilMs: number): Promise<void> {
    this.writeHeartbeats()
    this.checkPositions()
    await this.clock.runUntil(untilMs)
    for (const host of this.hosts) host.stop()
  }

  /** Makes the store return, after an outage, from a copy that is some milliseconds old when the outage begins. */
  returnStore (at: number, copyAgeMs: number, outageMs: number): void {
    this.faults.push({ kind: 'outage', from: at, until: at + outageMs, hosts: [] })
    let copy = this.store.copy()
    this.clock.schedule(Math.max(0, at - copyAgeMs), () => { copy = this.store.copy() })
    this.clock.schedule(at, () => { this.store.isDown = true })
    this.clock.schedule(at + outageMs, () => {
      this.store.returnFrom(copy)
      this.store.isDown = false
      for (const key of this.wanted.keys()) this.clock.schedule(this.random() * REWRITE_MS, () => { this.writeAgain(key) })
    })
  }

  refuseStore (hosts: readonly number[], from: number, ms: number): void {
    this.faults.push({ kind: 'cut', from, until: from + ms, hosts })
  }

  suspend (index: number, from: number, ms: number): void {
    this.faults.push({ kind: 'suspension', from, until: from + ms, hosts: [index] })
    this.clock.schedule(from + ms + 10, () => { this.hosts[index]?.handleGap() })
  }

  restart (index: number, at: number): void {
    this.faults.push({ kind: 'restart', from: at, until: at + 1_000, hosts: [index] })
    this.clock.schedule(at, () => { this.hosts[index]?.stop() })
    this.clock.schedule(at + 1_000, () => { this.startHost(index) })
  }

  writeConfiguration (at: number): void {
    this.clock.schedule(at, () => {
      this.version += 1
      const { version } = this
      this.put('configuration', this.padded ? { version, filler: this.makeFiller(version) } : { version })
      this.requireAtHosts({ what: `version ${version}`, isMet: ({ fleet }) => (fleet.configuration?.version ?? 0) >= version, isVoid: () => false })
    })
  }

  writeDeparture (id: number, at: number): void {
    this.clock.schedule(at, () => {
      const entry = this.wanted.get(`target/${id}`) as { sequence: number } | undefined
      if (entry === undefined) return
      this.put(`target/${id}`, { ...entry, draining: true, sequence: entry.sequence + 1 })
      this.requireAtHosts({ what: `departure of ${id}`, isMet: ({ fleet }) => fleet.findTarget(String(id))?.isLeaving() !== false, isVoid: () => false })
      this.clock.schedule(5_000, () => { this.put(`target/${id}`, undefined) })
    })
  }

  writeEvacuation (zone: number, at: number, ms: number): void {
    const name = ZONES[zone] as string
    this.clock.schedule(at, () => {
      this.put(`evacuation/${name}`, {})
      this.requireAtHosts({ what: `evacuation of ${name}`, isMet: ({ fleet }) => fleet.isEvacuated(name), isVoid: () => this.wanted.get(`evacuation/${name}`) === undefined })
    })
    this.clock.schedule(at + ms, () => { this.put(`evacuation/${name}`, undefined) })
  }

  /** Describes what hosts know otherwise than the writers want, at the end. */
  listDifferences (): string[] {
    return this.hosts.flatMap(({ fleet }, index) => [
      ...(fleet.configuration?.version === this.version ? [] : [`host ${index}: version ${fleet.configuration?.version}`]),
      ...ZONES.filter((zone) => fleet.isEvacuated(zone) !== (this.wanted.get(`evacuation/${zone}`) !== undefined)).map((zone) => `host ${index}: evacuation of ${zone}`),
      ...Array.from({ length: TARGETS }, (_, id) => String(id)).filter((id) => (fleet.findTarget(id) !== undefined) !== (this.wanted.get(`target/${id}`) !== undefined)).map((id) => `host ${index}: target ${id}`)
    ])
  }

  private makeFiller (version: number): string {
    return Array.from({ length: 200 }, (_, index) => `{"route":${index === version % 200 ? version : index},"timeout":"2000ms"}`).join(',')
  }

  /** Checks that no host counts a position as known whose configuration it has not applied. */
  private checkPositions (): void {
    const { era } = this.store.position
    const { version } = JSON.parse(this.store.readText('configuration') ?? '{"version":0}') as { version: number }
    const revision = this.store.listItems().find(({ key }) => key === 'configuration')?.revision ?? 0
    for (const [index, { fleet }] of this.hosts.entries()) {
      const isKnown = fleet.storePosition.era === era && fleet.storePosition.revision >= revision
      if (isKnown && (fleet.configuration?.version ?? 0) < version) this.violations.push(`${this.clock.now}: host ${index} counts revision ${revision} as known without version ${version}`)
    }
    this.clock.schedule(POSITION_CHECK_MS, () => { this.checkPositions() })
  }

  private startHost (index: number): void {
    const own = { name: `h-${index}`, incarnation: `${index}-${this.clock.now}`, availabilityZone: ZONES[index % 2] as string, region: 'akl', ip: `10.0.0.${index}`, callerPort: 1, peerPort: 2 }
    const host = new ModelHost({
      own,
      store: this.store,
      clock: new SuspendableClock(this.clock, () => this.isConcernedNow(index, 'suspension')),
      random: this.random,
      boundMs: BOUND_MS,
      isReachable: () => !this.store.isDown && !this.isConcernedNow(index, 'cut'),
      send: (bytes, toIp) => { this.send(bytes, own.ip, toIp) }
    })
    this.hosts[index] = host
    host.start()
  }

  private send (bytes: Uint8Array, fromIp: string, toIp: string): void {
    if (this.random() < this.loss) return
    const index = Number(toIp.split('.').at(-1))
    this.clock.schedule(DATAGRAM_MS, () => {
      if (!this.isConcernedNow(index, 'suspension')) this.hosts[index]?.receive(bytes, fromIp)
    })
  }

  /** Writes, or writes later if the store is away. */
  private put (key: string, value: object | undefined): void {
    this.wanted.set(key, value)
    this.writeAgain(key)
  }

  private writeAgain (key: string): void {
    if (this.store.isDown) return
    const value = this.wanted.get(key)
    const text = value === undefined ? undefined : JSON.stringify(value)
    if (this.store.readText(key) === text) return
    if (value === undefined) this.store.remove(key)
    else this.store.write(key, value)
    this.writtenAt.set(key, this.clock.now)
  }

  /** Targets write heartbeats, which no host decides by. */
  private writeHeartbeats (): void {
    for (const [key, value] of this.wanted) {
      if (!key.startsWith('target/') || value === undefined) continue
      const entry = value as { sequence: number }
      this.put(key, { ...entry, sequence: entry.sequence + 1 })
    }
    this.clock.schedule(HEARTBEAT_MS, () => { this.writeHeartbeats() })
  }

  private requireAtHosts (duty: Omit<Duty, 'at'>): void {
    const at = this.clock.now
    this.clock.schedule(BOUND_MS, () => {
      const span = { from: at - STABLE_MS, until: at + BOUND_MS }
      if (duty.isVoid() || this.isConcerned(0, 'outage', span)) return
      for (const [index, host] of this.hosts.entries()) {
        const isDisturbed = HOST_FAULTS.some((kind) => this.isConcerned(index, kind, span))
        if (!isDisturbed && !duty.isMet(host)) this.violations.push(`${at}: host ${index} doesn't know the ${duty.what}`)
      }
    })
  }

  private isConcernedNow (index: number, kind: Fault['kind']): boolean {
    return this.isConcerned(index, kind, { from: this.clock.now, until: this.clock.now })
  }

  private isConcerned (index: number, kind: Fault['kind'], { from, until }: Span): boolean {
    return this.faults.some((fault) => fault.kind === kind && (kind === 'outage' || fault.hosts.includes(index)) && fault.from <= until && fault.until >= from)
  }
}
