import { sleepFor } from 'almondrelay'
import bunyan from 'bunyan'
import type { TargetEntry } from '../../../request/targetEntry.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import { EventLog } from '../../observe/eventLog.js'
import { PageAge } from '../../store/pageAge.js'
import { StoreHealth } from '../../store/storeHealth.js'
import { FleetFollower } from '../fleetFollower.js'
import { FleetState } from '../fleetState.js'
import type { RelayedChanges } from '../relayedChanges.js'
import { FakeRevisionStore } from './fakeRevisionStore.js'
import { PlainFleetCodec } from './plainFleetCodec.js'

/** Follower of an in-memory store, with a clock that the test advances. */
export class FollowedFleet {
  now = 0
  /** Whether the follower may rely on other hosts of the region that watch the store. */
  reliesOnWatchers = false
  /** Number of full reads that left out some of the product's own keys. */
  omittingReads = 0
  readonly store = new FakeRevisionStore()
  readonly health = new StoreHealth({ heartbeatMs: 1_500, removalInForceMs: 2_500 })
  /** Ids of targets that were removed, and of those that restarted. */
  readonly removed: string[] = []
  readonly restarted: string[] = []
  readonly lines: string[] = []
  /** Changes that were relayed to the other hosts of the region. */
  readonly relayed: RelayedChanges[] = []
  /** Fingerprints of the suspect records that were removed. */
  readonly removedSuspects: string[] = []
  /** Whether applying a suspect record throws. */
  failsOnSuspects = false
  isWatcher = true
  /** Whether the hosts of the region rely on this host's watch. */
  isReliedOn = false
  readonly fleet = new FleetState({
    targetRemoved: ({ entry }) => { this.removed.push(entry.id) },
    targetAdded: () => undefined,
    targetRestarted: ({ entry }) => { this.restarted.push(entry.id) },
    hostRemoved: () => undefined
  })

  private readonly owner = new AbortController()
  readonly follower = new FleetFollower({
    store: this.store,
    codec: new PlainFleetCodec(),
    fleet: this.fleet,
    health: this.health,
    log: new EventLog(bunyan.createLogger({ name: 'test', streams: [{ type: 'raw', stream: { write: (line: { msg: string }) => { this.lines.push(line.msg) } } as unknown as NodeJS.WritableStream }] }), () => this.now),
    getNow: () => this.now,
    random: () => 0,
    sleep: sleepFor,
    ownName: 'own',
    boundMs: 4_000,
    isWatcher: () => this.isWatcher,
    isReliedOn: () => this.isReliedOn,
    hasReliableWatchers: () => this.reliesOnWatchers,
    handleRelayedChanges: () => undefined,
    relay: (changes) => { this.relayed.push(changes) },
    handleConfiguration: () => undefined,
    handleOwnEntryRemoved: () => undefined,
    handleDeclaredChange: () => undefined,
    handleSuspectRecord: () => { if (this.failsOnSuspects) throw new Error('simulated failure') },
    handleSuspectRecordRemoved: (fingerprint) => { this.removedSuspects.push(fingerprint) },
    handleOmittedKeys: () => { this.omittingReads += 1 }
  })

  constructor () {
    this.store.era.handleReturn = () => { this.follower.handleStoreReturn() }
  }

  private running: Promise<void> | undefined

  /** Starts following a store that holds a configuration and two targets. */
  static startWithTargets (): FollowedFleet {
    const followed = new FollowedFleet()
    followed.store.write('configuration', { version: 5 })
    followed.writeTarget('1')
    followed.writeTarget('2')
    followed.start()
    return followed
  }

  /** Prepares a store, not yet followed, whose stale pages still hold target 1, which has left since. */
  static async prepareOldPages (): Promise<FollowedFleet> {
    const followed = new FollowedFleet()
    followed.store.write('configuration', { version: 5 })
    followed.writeTarget('1')
    followed.store.stalePage = await followed.store.list('', '', PageAge.current)
    followed.store.remove('target/1')
    return followed
  }

  start (): void {
    this.running = this.follower.run(this.owner.signal)
  }

  async stop (): Promise<void> {
    this.owner.abort()
    await this.running
  }

  writeTarget (id: string, entry: Partial<TargetEntry> = {}): void {
    this.store.write(`target/${id}`, makeTarget({ id, port: 8_000 + Number(id), ...entry }).entry)
  }

  /** Waits until a condition holds; rejects after a time that is only reached if there is a fault. */
  async waitFor (check: () => boolean, what: string): Promise<void> {
    for (let step = 0; step < 2_000; step += 1) {
      if (check()) return
      await new Promise((resolve) => { setTimeout(resolve, 5) })
    }
    throw new Error(`timed out waiting for ${what}`)
  }
}
