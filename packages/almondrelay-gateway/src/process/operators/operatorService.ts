import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { getRequestListener } from '@hono/node-server'
import { AccountReader, ChangeLog, ConfigurationStore, createOperatorApp, decodeChange, readAccount, repairFromPlatform, restoreChanges, runSnapshotWriter, type StatusHooks } from 'almondrelay/operators'
import { DeclaredSteering } from '../../version/declaredSteering.js'
import { storedText } from '../store/storedText.js'
import { addQuarantineRoutes } from './addQuarantineRoutes.js'
import { listPlatformResources } from './listPlatformResources.js'
import { listMembers } from './listMembers.js'
import type { OperatorParts } from './operatorParts.js'

/** Milliseconds over which the hosts spread their reads and writes after the store has returned from a copy. */
const RESTORE_SPREAD_MS = 3_000
const MAX_RESTORE_ATTEMPTS = 20

/**
 * The operators' resources on this host: stores them, applies them to the steering of requests and serves the API that reads
 * and changes them.
 */
export class OperatorService {
  private readonly store: ConfigurationStore
  private readonly listener: ReturnType<typeof getRequestListener>
  private refreshing: Promise<void> | undefined
  private restoring: Promise<void> | undefined
  private latestSeenRevision = 0

  constructor (private readonly parts: OperatorParts, private readonly signal: AbortSignal) {
    const { own, availabilityZones, fleet, forward, values, clock, logger } = parts
    this.store = new ConfigurationStore(() => listPlatformResources(fleet, availabilityZones))
    this.store.subscribe((configuration) => {
      forward.steering = new DeclaredSteering(configuration, own.region)
      logger.warn({ revision: configuration.revision }, 'operators\' resources in force')
    }, signal)
    const changeLog = new ChangeLog({ platform: values, store: this.store, clock })
    void runSnapshotWriter({ platform: values, store: this.store, changeLog, log: logger }, signal)
    const reader = new AccountReader(values)
    const app = createOperatorApp({
      host: own.name,
      store: this.store,
      changeLog,
      listMembers: () => listMembers({ ...parts, ownRevision: this.revision, isLeaving: parts.isLeaving() }, clock.getNow()),
      statusHooks: this.buildStatusHooks(),
      fetchAccount: (query, callSignal) => readAccount(reader, query, clock.getWallTime(), callSignal),
      makeWriteId: randomUUID,
      log: logger
    }, signal)
    addQuarantineRoutes(app, parts.quarantine, () => clock.getNow())
    this.listener = getRequestListener(app.fetch)
  }

  get revision (): number {
    return this.store.current.revision
  }

  async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.store.isReady) await this.refresh()
    await this.listener(request, response)
  }

  /**
   * Applies a change received from the watch of the store; reads the changes before it from the store if any are missing. Another change
   * under a revision that is in force shows that the store has lost changes.
   */
  async acceptChange (revision: number, body: Buffer): Promise<void> {
    const known = this.store.listChanges(revision - 1, 1)?.[0]?.change
    if (known === undefined && revision <= this.revision) return
    const text = await storedText.decode(body)
    this.latestSeenRevision = Math.max(this.latestSeenRevision, revision)
    if (known !== undefined && known.writeId !== decodeChange(text, revision).writeId) await this.restore()
    else if (revision === this.revision + 1 && revision === this.latestSeenRevision && this.store.isReady) this.store.adoptChange(decodeChange(text, revision), text)
    else if (revision > this.revision) await this.refresh()
  }

  /**
   * Writes the changes again that the store has lost by its return from a copy; concurrent calls share one run. All hosts do so: each
   * waits for a random time, after which it finds what others have written.
   */
  async restore (): Promise<void> {
    this.restoring ??= this.restoreOnce().finally(() => { this.restoring = undefined })
    await this.restoring
  }

  /** Updates the resources to the newest change in the store; concurrent calls share one run. */
  async refresh (): Promise<void> {
    this.refreshing ??= this.refreshOnce().finally(() => { this.refreshing = undefined })
    await this.refreshing
  }

  private async restoreOnce (): Promise<void> {
    const { values, clock, random, logger } = this.parts
    for (let attempts = 0; attempts < MAX_RESTORE_ATTEMPTS && !this.signal.aborted; attempts += 1) {
      await clock.sleep(RESTORE_SPREAD_MS * random(), this.signal)
      try {
        const result = await restoreChanges({ platform: values, store: this.store, clock }, this.signal)
        const isNotable = result.written.length + result.renumbered.length + result.dropped.length > 0
        if (isNotable) logger.warn(result, 'operators\' changes that the store had lost were written again')
        return
      } catch (error) {
        if (!this.signal.aborted) logger.warn({ err: error as Error }, 'operators\' changes that the store has lost not written again yet')
      }
    }
  }

  private async refreshOnce (): Promise<void> {
    const { values, logger } = this.parts
    try {
      await repairFromPlatform(values, this.store, this.signal)
      this.store.markReady()
    } catch (error) {
      if (!this.signal.aborted) logger.warn({ err: error as Error, revision: this.revision }, 'could not read the operators\' resources; the previous ones stay in force')
    }
  }

  private buildStatusHooks (): StatusHooks {
    const { fleet, forward } = this.parts
    return {
      countWorkLeft: ({ spec }) => [...fleet.listAllTargets()]
        .filter(({ entry }) => ({ target: entry.id, availabilityZone: entry.availabilityZone, region: entry.region })[spec.scope] === spec.name)
        .reduce((sum, target) => sum + target.countOutstanding(this.parts.clock.getNow()), 0),
      countCarried: (resource) => resource.kind === 'Region'
        ? undefined
        : forward.shiftCapUsage.countRunning(resource.spec.to, resource.kind === 'ShiftCap' ? resource.spec.service : undefined)
    }
  }
}
