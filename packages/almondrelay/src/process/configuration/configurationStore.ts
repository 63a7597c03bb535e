import { Configuration } from '../../version/configuration.js'
import type { Change } from '../../version/resources/change.js'
import type { Resource } from '../../version/resources/resource.js'
import type { ConfigurationSnapshot } from './configurationSnapshot.js'
import { encodeChange } from './encodeChange.js'
import type { EncodedChange } from './encodedChange.js'

/** Changes kept for peers and watches: at 19,000 changes a day, over an hour of them. */
const MAX_KEPT_CHANGES = 1_024
/** Bound on the memory of the kept changes; one change may be as long as a megabyte. */
const MAX_KEPT_BYTES = 16 * 1_048_576
/** Write ids kept, so that a repeated write is recognised: half a day of them. */
const MAX_KEPT_WRITES = 10_000
/** Write ids passed on in a snapshot: about 60 KB. */
const MAX_SNAPSHOT_WRITES = 1_000

type Listener = (configuration: Configuration) => void

/**
 * The configuration in force on this host. Its revision only increases: change n+1 is adopted on revision n alone, and a
 * snapshot only if its revision is higher, so neither a late message nor a lagging peer can revert a revision. Only after the
 * platform has lost changes may another history replace it.
 */
export class ConfigurationStore {
  private configuration = Configuration.empty
  private ready = false
  private kept: EncodedChange[] = []
  private keptBytes = 0
  private readonly writes = new Map<string, number>()
  private readonly listeners = new Set<Listener>()

  /** @param listGiven resources that are declared elsewhere, as now; none of their kinds is written here */
  constructor (private readonly listGiven: () => readonly Resource[] = () => []) {}

  /** The configuration in force, with the resources that are declared elsewhere. */
  get view (): Configuration {
    return this.configuration.withExternal(this.listGiven())
  }

  get given (): readonly Resource[] {
    return this.listGiven()
  }

  get current (): Configuration {
    return this.configuration
  }

  /** False until the platform or a peer has answered with its full configuration; see `loadFirstConfiguration`. */
  get isReady (): boolean {
    return this.ready
  }

  markReady (): void {
    if (this.ready) return
    this.ready = true
    this.notifyListeners()
  }

  /**
   * Adopts the change if it directly follows the revision in force, and its write made no other change: a write that the log holds under a
   * second revision belongs to another history.
   */
  adoptChange (change: Change, body: string = encodeChange(change)): boolean {
    if (this.writes.has(change.writeId)) return false
    const next = this.configuration.apply(change)
    if (next === undefined) return false
    this.configuration = next
    this.keepChange({ change, body })
    this.keepWrite(change.writeId, change.revision)
    this.notifyListeners()
    return true
  }

  /** Adopts the snapshot if its revision is higher than the one in force. */
  adoptSnapshot (snapshot: ConfigurationSnapshot): boolean {
    if (snapshot.revision <= this.configuration.revision) return false
    this.configuration = Configuration.restore(snapshot.revision, snapshot.resources)
    this.kept = []
    this.keptBytes = 0
    for (const write of snapshot.writes) this.keepWrite(write.writeId, write.revision)
    this.notifyListeners()
    return true
  }

  /** Replaces the configuration and its changes by those of another history of the platform, whatever its revision. */
  adoptHistory (other: ConfigurationStore): void {
    this.configuration = other.configuration
    this.kept = [...other.kept]
    this.keptBytes = other.keptBytes
    this.writes.clear()
    for (const [writeId, revision] of other.writes) this.keepWrite(writeId, revision)
    this.notifyListeners()
  }

  /** Lists all changes that are kept, oldest first. */
  listKept (): readonly EncodedChange[] {
    return [...this.kept]
  }

  buildSnapshot (): ConfigurationSnapshot {
    const writes = [...this.writes].slice(-MAX_SNAPSHOT_WRITES).map(([writeId, revision]) => ({ writeId, revision }))
    return { revision: this.configuration.revision, resources: this.configuration.listAll(), writes }
  }

  /** Lists the changes after a revision, oldest first; undefined where some of them are no longer kept. */
  listChanges (after: number, max: number): EncodedChange[] | undefined {
    const oldest = this.configuration.revision - this.kept.length
    if (after < oldest) return undefined
    return this.kept.slice(after - oldest, after - oldest + max)
  }

  /** Returns the revision that a write created; undefined where its id is no longer kept. */
  findWrite (writeId: string): number | undefined {
    return this.writes.get(writeId)
  }

  /** Calls the listener after each increase of the revision, until the signal aborts. */
  subscribe (listener: Listener, signal: AbortSignal): void {
    if (signal.aborted) return
    this.listeners.add(listener)
    signal.addEventListener('abort', () => this.listeners.delete(listener), { once: true })
  }

  /** Resolves once a revision above `after` is in force, or when the signal aborts. */
  async waitAbove (after: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted || this.configuration.revision > after) return
    const wait = new AbortController()
    await new Promise<void>((resolve) => {
      const finish = () => {
        wait.abort()
        signal.removeEventListener('abort', finish)
        resolve()
      }
      signal.addEventListener('abort', finish, { once: true })
      this.subscribe((configuration) => { if (configuration.revision > after) finish() }, wait.signal)
    })
  }

  private keepChange (kept: EncodedChange): void {
    this.kept.push(kept)
    this.keptBytes += kept.body.length
    while (this.kept.length > MAX_KEPT_CHANGES || (this.keptBytes > MAX_KEPT_BYTES && this.kept.length > 1)) {
      this.keptBytes -= this.kept.shift()?.body.length ?? 0
    }
  }

  private keepWrite (writeId: string, revision: number): void {
    this.writes.set(writeId, revision)
    if (this.writes.size <= MAX_KEPT_WRITES) return
    const [oldest] = this.writes.keys()
    if (oldest !== undefined) this.writes.delete(oldest)
  }

  private notifyListeners (): void {
    for (const listener of [...this.listeners]) listener(this.configuration)
  }
}
