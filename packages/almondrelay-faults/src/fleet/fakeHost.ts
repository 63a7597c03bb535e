import { Code, ConnectError } from '@connectrpc/connect'
import { buildRequestPath, createPeerHandlers, createSeededRandom, DecisionRecorder, HostCapacity, HostDirectory, HostSlots, PlainModules, RegionLender, RegionLimits, type Clock, type Configuration, type HostIdentity, type KnownHost } from 'almondrelay'
import type { FakeFleet } from './fakeFleet.js'
import { FakeLinks } from './fakeLinks.js'
import { HostClock } from './hostClock.js'

interface RecordedDecision {
  decision: string
  requestId: string
}

/** Takes notes in memory. */
class MemoryRecorder extends DecisionRecorder {
  readonly decisions: RecordedDecision[] = []

  override record ({ decision, requestId }: RecordedDecision): void {
    this.decisions.push({ decision, requestId })
  }
}

/** The fleet's hosts as one of them knows them. */
class FleetDirectory extends HostDirectory {
  readonly gone = new Map<string, number>()

  constructor (private readonly fleet: FakeFleet) {
    super()
  }

  override find (name: string): KnownHost | undefined {
    return this.list().find((host) => host.name === name)
  }

  override list (): KnownHost[] {
    return this.fleet.hosts.map((host) => host.describe(this.gone.get(host.identity.host) === host.identity.incarnation))
  }

  override observeRefused (name: string, incarnation: number): void {
    this.gone.set(name, incarnation)
  }
}

const REQUESTS = { maxQueued: 64, maxJournalEntries: 1_000, journalRetentionMs: 120_000, maxDeadlineMs: 60_000 }

/** An entry host's request path as the daemon has it, with fakes for targets, peers and time. */
export class FakeHost {
  readonly clock: HostClock
  readonly links: FakeLinks
  readonly slots: HostSlots
  readonly capacity: HostCapacity
  readonly limits: RegionLimits
  private readonly lender: RegionLender
  readonly recorder = new MemoryRecorder()
  readonly directory: FleetDirectory
  readonly path: ReturnType<typeof buildRequestPath>
  readonly handlers: ReturnType<typeof createPeerHandlers>
  killed = false
  private readonly process = new AbortController()
  private readonly kills: Array<(error: ConnectError) => void> = []

  constructor (readonly identity: HostIdentity, private readonly fleet: FakeFleet, clock: Clock, seed: number) {
    this.clock = new HostClock(clock)
    this.links = new FakeLinks(this, (address) => fleet.findByAddress(address), clock)
    this.directory = new FleetDirectory(fleet)
    this.slots = new HostSlots(identity)
    this.limits = new RegionLimits(identity, this.slots.claims)
    this.lender = new RegionLender({ name: identity.host, incarnation: identity.incarnation })
    this.capacity = new HostCapacity({ region: identity.region, slots: this.slots, limits: this.limits, wakeLoans: () => undefined })
    const random = createSeededRandom(seed)
    this.path = buildRequestPath({
      requests: REQUESTS,
      identity,
      clock: this.clock,
      random,
      modules: new PlainModules(random, this.recorder),
      recorder: this.recorder,
      slots: this.capacity,
      directory: this.directory,
      links: this.links,
      targets: fleet.targets
    }, this.process.signal)
    this.handlers = createPeerHandlers({ peerRequests: this.path.peerRequests, slots: this.slots, capacity: this.capacity, limits: this.limits, lender: this.lender, clock: this.clock })
  }

  get address (): string {
    return this.identity.host
  }

  adoptConfiguration (configuration: Configuration): void {
    this.limits.adoptConfiguration(configuration, REQUESTS.maxDeadlineMs, this.clock.getNow())
    this.path.services.adoptConfiguration(configuration, this.clock.getNow())
  }

  /** Ends the process: its tasks stop and its connections break. */
  kill (): void {
    this.killed = true
    this.process.abort()
    this.clock.freeze()
    for (const reject of this.kills.splice(0)) reject(new ConnectError('connection lost', Code.Unavailable))
  }

  /** Rejects when the process ends. */
  waitForKill (): Promise<never> {
    return new Promise((resolve, reject) => {
      if (this.killed) reject(new ConnectError('connection lost', Code.Unavailable))
      this.kills.push(reject)
    })
  }

  describe (gone: boolean): KnownHost {
    const now = this.clock.getNow()
    const loads = this.path.services.list().map((runtime) => {
      return [runtime.name, this.capacity.countFree(runtime.name, now)] as const
    })
    return {
      name: this.identity.host,
      incarnation: this.identity.incarnation,
      region: this.identity.region,
      availabilityZone: this.identity.availabilityZone,
      callerAddress: this.address,
      peerAddress: this.address,
      leaving: false,
      reachable: !gone,
      gone,
      freeSlots: new Map(loads),
      slots: new Map(loads),
      ageMs: 0
    }
  }
}
