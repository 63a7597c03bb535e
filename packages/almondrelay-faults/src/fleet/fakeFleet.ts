import { Configuration, createId, HeaderName, parseCallerRequest, type Answer, type Change, type Resource } from 'almondrelay'
import { FakeClock } from 'almondrelay/testing'
import { FakeHost } from './fakeHost.js'
import { FakeTargets } from './fakeTargets.js'

interface FleetZone {
  region: string
  availabilityZone: string
  targets: number
  slots: number
}

interface FleetRequest {
  /** Host that the caller sends to. */
  host: string
  /** Home that the caller names; the host that it sends to where absent. */
  home?: string
  /** Incarnation of the home that the caller learnt of; the present one where absent. */
  homeIncarnation?: number
  id?: string
  attempt?: number
  method?: string
  path?: string
  deadlineMs?: number
  caller?: string
}

interface SentRequest {
  id: string
  answer: Promise<Answer>
  /** The final answer, once there is one. */
  getAnswer: () => Answer | undefined
  /** The caller goes away. */
  cancel: () => void
}

const SERVICE = 'approvals'
const DEFAULT_DEADLINE_MS = 5_000

/** Hosts, targets and links in one process and virtual time; one host for each zone. */
export class FakeFleet {
  readonly clock = new FakeClock()
  readonly targets = new FakeTargets(this.clock)
  readonly hosts: FakeHost[] = []
  /** Whether any host was ever frozen; its callers may be answered late. */
  wasFrozen = false
  private configuration = Configuration.empty

  constructor (private readonly zones: readonly FleetZone[], seed = 1) {
    zones.forEach((zone, index) => { this.addHost(zone, 1, seed + index) })
    this.buildResources().forEach((resource) => { this.applyResource(resource) })
  }

  get service (): string {
    return SERVICE
  }

  /** Slots of each target. */
  get slots (): number {
    return this.zones[0]?.slots ?? 0
  }

  freeze (name: string): void {
    this.wasFrozen = true
    this.getHost(name).clock.freeze()
  }

  getHost (name: string): FakeHost {
    const found = this.hosts.find((host) => host.identity.host === name)
    if (found === undefined) throw new Error(`no host ${name} in the fleet: use one of ${this.hosts.map((host) => host.identity.host).join(', ')}`)
    return found
  }

  findByAddress (address: string): FakeHost | undefined {
    return this.hosts.find((host) => host.address === address)
  }

  /** A new process takes the place of one that was killed. */
  restart (name: string): FakeHost {
    const index = this.hosts.findIndex((host) => host.identity.host === name)
    const old = this.getHost(name)
    const zone = this.zones[index] as FleetZone
    this.hosts.splice(index, 1)
    const host = this.addHost(zone, old.identity.incarnation + 1, old.identity.incarnation + 100)
    host.slots.markGone(name, old.identity.incarnation, this.clock.getNow())
    host.adoptConfiguration(this.configuration)
    return host
  }

  /** Puts a resource in force on every host at once. */
  applyResource (resource: Resource): void {
    const revision = this.configuration.revision + 1
    const change: Change = { revision, writeId: `w${revision}`, author: 'test', writtenAt: 0, action: 'put', resource }
    this.configuration = this.configuration.apply(change) ?? this.configuration
    for (const host of this.hosts) host.adoptConfiguration(this.configuration)
  }

  /** Sends a request as a caller does; the answer is the one that the host would give on its connection. */
  send (request: FleetRequest): SentRequest {
    const host = this.getHost(request.host)
    const home = this.getHost(request.home ?? request.host).identity
    const id = request.id ?? createId(this.clock.getWallTime())
    const caller = new AbortController()
    const sent = { answer: undefined as Answer | undefined }
    const answer = this.handle(host, { ...request, home: `${home.host};${request.homeIncarnation ?? home.incarnation}` }, id, caller.signal)
    void answer.then((final) => { sent.answer = final })
    return { id, answer, getAnswer: () => sent.answer, cancel: () => { caller.abort() } }
  }

  /** Address of a target, by zone and place in it. */
  getTarget (availabilityZone: string, index = 0): string {
    return `${availabilityZone}-${index}`
  }

  private async handle (host: FakeHost, request: FleetRequest & { home: string }, id: string, signal: AbortSignal): Promise<Answer> {
    await host.clock.waitWhileFrozen()
    const runtime = host.path.services.find(SERVICE)
    if (runtime === undefined) throw new Error('the fleet has no service')
    const headers = [
      { name: HeaderName.id, value: id },
      { name: HeaderName.caller, value: request.caller ?? 'school-1' },
      { name: HeaderName.home, value: request.home },
      { name: HeaderName.deadline, value: String(request.deadlineMs ?? DEFAULT_DEADLINE_MS) },
      ...(request.attempt === undefined ? [] : [{ name: HeaderName.attempt, value: String(request.attempt) }])
    ]
    const raw = { method: request.method ?? 'POST', service: SERVICE, path: request.path ?? '/leave', headers, body: new Uint8Array([1]) }
    const parsed = parseCallerRequest(raw, runtime.spec, { maxDeadlineMs: 60_000 }, () => id)
    if ('refusal' in parsed) return parsed.refusal
    return await host.path.handler.handle(parsed.request, runtime, signal)
  }

  private addHost (zone: FleetZone, incarnation: number, seed: number): FakeHost {
    const identity = { host: `${zone.availabilityZone}-host`, incarnation, region: zone.region, availabilityZone: zone.availabilityZone }
    const host = new FakeHost(identity, this, this.clock, seed)
    this.hosts.splice(this.zones.indexOf(zone), 0, host)
    host.slots.adoptRoster({ version: incarnation, availabilityZone: zone.availabilityZone, hosts: [{ name: identity.host, incarnation }] }, this.clock.getNow())
    return host
  }

  private buildResources (): Resource[] {
    const regions = [...new Set(this.zones.map((zone) => zone.region))]
    const targets = this.zones.flatMap((zone) => Array.from({ length: zone.targets }, (_, index) => ({
      name: this.getTarget(zone.availabilityZone, index),
      address: this.getTarget(zone.availabilityZone, index),
      availabilityZone: zone.availabilityZone,
      slots: zone.slots,
      connections: 360
    })))
    return [
      ...regions.map((region): Resource => ({
        kind: 'Region',
        name: region,
        revision: 0,
        spec: { availabilityZones: this.zones.filter((zone) => zone.region === region).map((zone) => zone.availabilityZone), maxInFlight: 1_000, clientBlocks: [] }
      })),
      { kind: 'Service', name: SERVICE, revision: 0, spec: { targets, routes: [], maxBodyBytes: 1_000_000, defaultDeadlineMs: DEFAULT_DEADLINE_MS, healthPath: '/health' } }
    ]
  }
}
