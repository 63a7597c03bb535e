import Logger from 'bunyan'
import { createSeededRandom } from '../../../request/createSeededRandom.js'
import { ChangeLog } from '../../../process/configuration/changeLog.js'
import { ConfigurationStore } from '../../../process/configuration/configurationStore.js'
import { followPlatformChanges } from '../../../process/configuration/followPlatformChanges.js'
import { loadFirstConfiguration } from '../../../process/configuration/loadFirstConfiguration.js'
import { repairFromPlatform } from '../../../process/configuration/repairFromPlatform.js'
import { AlmondrelayError } from '../../../process/errors/almondrelayError.js'
import { ErrorKind } from '../../../process/errors/errorKind.js'
import { LeavingTargets } from '../../../process/membership/leavingTargets.js'
import { Membership } from '../../../process/membership/membership.js'
import type { MembershipEvent } from '../../../process/membership/membershipEvent.js'
import { FakeClock } from '../../../process/platform/__fixtures__/fakeClock.js'
import { FakePlatform } from '../../../process/platform/__fixtures__/fakePlatform.js'
import { createPeerSources } from '../createPeerSources.js'
import { ExchangeHub } from '../exchangeHub.js'
import type { PeerRefusal } from '../peerRefusal.js'
import { runExchanges } from '../runExchanges.js'
import { FakeNetwork } from './fakeNetwork.js'

const FIRST_INCARNATION = 1_790_000_000_000

interface FleetHost {
  host: string
  address: string
  incarnation: number
  membership: Membership
  leavingTargets: LeavingTargets
  store: ConfigurationStore
  changeLog: ChangeLog
  hub: ExchangeHub
  events: MembershipEvent[]
  refusals: PeerRefusal[]
  /** Each revision that the store adopted, in order. */
  revisions: number[]
  endpoint: { isFrozen: boolean, isDead: boolean }
  owner: AbortController
}

/** Runs entry hosts with their membership, configuration and exchanges on a fake network and platform. */
export class FakeFleet {
  readonly clock = new FakeClock()
  readonly platform = new FakePlatform(this.clock)
  readonly network: FakeNetwork
  readonly hosts = new Map<string, FleetHost>()
  /** Hosts that can't reach the platform. */
  readonly disconnectedFromPlatform = new Set<string>()
  private nextPort = 1

  constructor (private readonly seed = 1) {
    this.network = new FakeNetwork(this.clock, createSeededRandom(seed))
  }

  /** Starts hosts `<region>-<zone>-<n>` for each zone `<region>-<zone>`; each knows all others from its settings. */
  startZones (zones: readonly string[], hostsPerZone: number): void {
    const names = zones.flatMap((zone) => Array.from({ length: hostsPerZone }, (_, index) => `${zone}-${String(index + 1).padStart(2, '0')}`))
    for (const name of names) this.startHost(name, names)
  }

  startHost (host: string, peers: readonly string[], address = this.getAddress(host)): FleetHost {
    const incarnation = FIRST_INCARNATION + this.clock.getNow() + (this.hosts.get(host)?.incarnation === undefined ? 0 : 1)
    const self = { ...parseHost(host), incarnation, callerAddress: address, peerAddress: address }
    const settings = { self, heartbeatMs: 250, suspectAfterMs: 1_000 }
    const membership = new Membership(settings)
    for (const peer of peers) membership.addSeed({ ...parseHost(peer), callerAddress: '', peerAddress: this.getAddress(peer), isLeaving: false })
    const store = new ConfigurationStore()
    const leavingTargets = new LeavingTargets()
    const owner = new AbortController()
    const log = new Logger({ name: 'test', streams: [] })
    const refusals: PeerRefusal[] = []
    const hub = new ExchangeHub({
      ...settings,
      membership,
      leavingTargets,
      store,
      clock: this.clock,
      log,
      createClient: (peerAddress) => this.network.createClient(host, peerAddress),
      handleRefusal: (refusal) => { refusals.push(refusal) }
    }, owner.signal)
    const platform = this.createPlatformView(host)
    const started: FleetHost = {
      host,
      address,
      incarnation,
      membership,
      leavingTargets,
      store,
      hub,
      owner,
      refusals,
      changeLog: new ChangeLog({ platform, store, clock: this.clock }),
      events: [],
      revisions: [],
      endpoint: this.network.register(address, host, hub)
    }
    this.hosts.set(host, started)
    membership.subscribe((event) => { started.events.push(event) })
    store.subscribe((configuration) => { started.revisions.push(configuration.revision) }, owner.signal)
    const random = createSeededRandom(this.seed + this.hosts.size)
    const listSources = () => [
      async (signal: AbortSignal) => {
        await repairFromPlatform(platform, store, signal)
        return true
      },
      ...createPeerSources(hub)
    ]
    const isWatcher = () => membership.chooseWatchers(self.availabilityZone, this.clock.getNow()).includes(host)
    this.watchTask(runExchanges(hub, owner.signal))
    this.watchTask(loadFirstConfiguration({ store, clock: this.clock, random, log, listSources }, owner.signal))
    this.watchTask(followPlatformChanges({ platform, store, clock: this.clock, random, log, isWatcher }, owner.signal))
    return started
  }

  getHost (host: string): FleetHost {
    const found = this.hosts.get(host)
    if (found === undefined) throw new Error(`no host ${host}`)
    return found
  }

  /** Ends the process at once; its address refuses connections afterwards. */
  killHost (host: string): void {
    this.getHost(host).owner.abort()
    this.getHost(host).endpoint.isDead = true
  }

  stopAll (): void {
    for (const host of this.hosts.values()) host.owner.abort()
  }

  getState (observer: string, host: string): string | undefined {
    return this.getHost(observer).membership.getMember(host, this.clock.getNow())?.state
  }

  private getAddress (host: string): string {
    for (const [address, endpoint] of this.network.endpoints) if (endpoint.host === host) return address
    const known = this.addresses.get(host) ?? `127.0.0.1:${this.nextPort++}`
    this.addresses.set(host, known)
    return known
  }

  private readonly addresses = new Map<string, string>()

  private createPlatformView (host: string): FakePlatform {
    return new Proxy(this.platform, {
      get: (platform, property) => {
        const value: unknown = Reflect.get(platform, property)
        if (typeof value !== 'function') return value
        return async (...values: unknown[]) => {
          const isDisconnected = () => this.disconnectedFromPlatform.has(host)
          if (isDisconnected()) throw makeOutageError()
          const answer = await (value as (...values: unknown[]) => Promise<unknown>).apply(platform, values)
          if (isDisconnected()) throw makeOutageError()
          return answer
        }
      }
    })
  }

  private watchTask (task: Promise<void>): void {
    task.catch((error: unknown) => { throw error })
  }
}

function makeOutageError (): AlmondrelayError {
  return new AlmondrelayError({ kind: ErrorKind.platformUnavailable, message: 'cut from the platform', remedy: 'mend the network' })
}

function parseHost (host: string): { host: string, availabilityZone: string, region: string } {
  const [region = '', zone = ''] = host.split('-')
  return { host, availabilityZone: `${region}-${zone}`, region }
}
