import bunyan from 'bunyan'
import { EventLog } from '../../observe/eventLog.js'
import type { ForwardState } from '../../forward/forwardState.js'
import { decodeDatagram } from '../../peers/decodeDatagram.js'
import { PeerExchange } from '../../peers/peerExchange.js'
import type { PeerSocket } from '../../peers/peerSocket.js'
import { PeerView } from '../../peers/peerView.js'
import { StoreHealth } from '../../store/storeHealth.js'
import { FleetFollower } from '../fleetFollower.js'
import { FleetState } from '../fleetState.js'
import type { HostEntry } from '../hostEntry.js'
import type { FakeRevisionStore } from './fakeRevisionStore.js'
import { ModelStoreView } from './modelStoreView.js'
import { PlainFleetCodec } from './plainFleetCodec.js'
import type { SuspendableClock } from './suspendableClock.js'

const RENEWAL_INTERVAL_MS = 1_300

interface HostParts {
  own: HostEntry
  store: FakeRevisionStore
  clock: SuspendableClock
  random: () => number
  /** Milliseconds within which a change must be known. */
  boundMs: number
  isReachable: () => boolean
  send: (bytes: Uint8Array, toIp: string) => void
}

/** A host of a model: what it knows of the fleet, and how it learns of it from the store and from its peers. */
export class ModelHost {
  readonly fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  private readonly view: PeerView
  private readonly health = new StoreHealth({ heartbeatMs: 1_500, removalInForceMs: 2_500 })
  private readonly exchange: PeerExchange
  private readonly follower: FleetFollower
  private readonly access: ModelStoreView
  private readonly stopping = new AbortController()

  constructor (private readonly parts: HostParts) {
    const { own, store, clock, random, boundMs } = parts
    const getNow = (): number => clock.now
    this.fleet.putHost(own)
    this.view = new PeerView(own, this.fleet)
    this.access = new ModelStoreView(store, clock, parts.isReachable)
    const noReports = { takeReports: () => [] }
    this.exchange = new PeerExchange({
      own,
      fleet: this.fleet,
      forward: { listRuntimes: () => [], announcements: { limits: noReports, departures: noReports } } as unknown as ForwardState,
      listLostZones: () => [],
      view: this.view,
      socket: { send: (bytes: Uint8Array, ip: string) => { parts.send(bytes, ip) } } as unknown as PeerSocket,
      getNow,
      sleep: clock.sleep,
      isLeaving: () => false,
      getDeclaredRevision: () => 0,
      receivePosition: (position, notablePosition, now) => { this.follower.receivePeerPosition(position, notablePosition, now) },
      observeStoreContact: (at) => { this.health.observeContact(at) },
      acceptRelayedChanges: (changes) => { this.follower.applyRelayedChanges(changes) },
      receiveWatcherReport: (report, now) => { this.follower.receiveWatcherState(report.storePosition, report.notablePosition, report.storeAgeMs, now) }
    })
    this.follower = new FleetFollower({
      store: this.access,
      codec: new PlainFleetCodec(),
      fleet: this.fleet,
      health: this.health,
      log: new EventLog(bunyan.createLogger({ name: 'model', streams: [] }), getNow),
      getNow,
      random,
      sleep: clock.sleep,
      ownName: own.name,
      boundMs,
      isWatcher: () => this.view.isRepresentative(clock.now),
      isReliedOn: () => this.view.isLargeRegion(),
      hasReliableWatchers: () => this.view.hasReliableWatchers(boundMs, clock.now),
      handleRelayedChanges: () => undefined,
      relay: (changes) => { if (this.view.isRelay(clock.now)) this.exchange.relay(changes) },
      handleConfiguration: () => undefined,
      handleOwnEntryRemoved: () => { this.writeEntry() },
      handleDeclaredChange: () => undefined,
      handleSuspectRecord: () => undefined,
      handleSuspectRecordRemoved: () => undefined,
      handleOmittedKeys: () => undefined
    })
    this.access.era.handleReturn = () => {
      this.follower.handleStoreReturn()
      clock.schedule(random() * 500, () => { this.writeEntry() })
    }
  }

  start (): void {
    const { signal } = this.stopping
    void this.follower.run(signal)
    void this.exchange.run(signal)
    void this.renew(signal)
  }

  stop (): void {
    this.stopping.abort()
  }

  receive (bytes: Uint8Array, fromIp: string): void {
    const message = decodeDatagram(bytes)
    if (message?.kind === 'load' && !this.stopping.signal.aborted) this.exchange.handleReport(message.report, fromIp)
  }

  /** Reads what was missed, as a host does after it was suspended. */
  handleGap (): void {
    this.follower.refresh('this host was suspended')
  }

  private writeEntry (): void {
    const { store, own, isReachable } = this.parts
    if (isReachable() && !this.stopping.signal.aborted) store.write(`host/${own.name}`, { ...own, storeEra: store.position.era })
  }

  private hasEntry (): boolean {
    const { store, own } = this.parts
    return (JSON.parse(store.readText(`host/${own.name}`) ?? '{}') as Partial<HostEntry>).incarnation === own.incarnation
  }

  private async renew (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.hasEntry()) this.writeEntry()
      await this.parts.clock.sleep(RENEWAL_INTERVAL_MS, signal)
      await this.access.renewLease({ id: 1, era: this.access.era.current }, signal).catch(() => false)
    }
  }
}
