import type Logger from 'bunyan'
import { computeBackoff } from '../../process/configuration/computeBackoff.js'
import type { RegionLender } from '../../process/limits/regionLender.js'
import type { RosterHost } from '../../process/limits/rosterHost.js'
import type { Clock } from '../../process/platform/clock.js'
import type { Platform } from '../../process/platform/platform.js'
import type { Random } from '../../request/random.js'
import { parseLender } from './parseLender.js'

interface LenderElectionParts {
  platform: Platform
  lender: RegionLender
  self: RosterHost
  region: string
  /** Whether this host is one of the two hosts of its zone that watch the platform; only these lend for the region. */
  isWatcher: () => boolean
  /** Maximum relative difference between the rates of this host's clock and the platform's. */
  drift: number
  clock: Clock
  random: Random
  log: Logger
}

/** Term of the platform lease. 21 regions together renew 7 times a second, which is under 2% of the platform's write capacity. */
const LEASE_TTL_MS = 9_000
const ROUND_INTERVAL_MS = 3_000
/**
 * Age at which a host that borrows but doesn't lend reads the name of the lender again. 80 zones of 41 such hosts make
 * 110 reads a second, which is 5% of the platform's read capacity.
 */
const REREAD_INTERVAL_MS = 30_000

/**
 * Elects one of the region's watchers as lender: the platform's key `lenders/<region>` names the lender and is held under a
 * platform lease. While this host holds the key, its RegionLender is authorised to lend until a given time. The authority
 * runs from the time at which the grant or renewal of the lease was sent and is shorter than the platform's term by the clock
 * drift, so that it expires before another host can take the key.
 */
export class LenderElection {
  private lenderName: string | undefined
  private leaseId: string | undefined
  private readAt = -Infinity
  private isReadRequested = false

  constructor (private readonly parts: LenderElectionParts) {}

  /** Returns the last known name of the region's lender. A call makes a host that isn't a watcher read the key again. */
  find (): string | undefined {
    this.isReadRequested = true
    return this.lenderName
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, random, log, isWatcher } = this.parts
    let failures = 0
    while (!signal.aborted) {
      try {
        if (isWatcher()) await this.update(signal)
        else if (this.isReadRequested && clock.getNow() >= this.readAt + REREAD_INTERVAL_MS) await this.read(signal)
        failures = 0
        await clock.sleep(ROUND_INTERVAL_MS * (0.75 + random() / 2), signal)
      } catch (error) {
        if (signal.aborted) return
        log.warn({ err: error, failures, region: this.parts.region }, 'region lender update failed')
        await clock.sleep(computeBackoff(failures, random), signal)
        failures += 1
      }
    }
  }

  private async update (signal: AbortSignal): Promise<void> {
    const { platform, self, clock } = this.parts
    const { holder, version } = await this.read(signal)
    if (holder === undefined) {
      await this.take(version, signal)
      return
    }
    if (holder.name !== self.name || holder.incarnation !== self.incarnation) {
      this.parts.lender.dropAuthority()
      return
    }
    const sentAt = clock.getNow()
    if (this.leaseId !== undefined && await platform.renewLease(this.leaseId, signal)) this.acceptAuthority(sentAt, false)
    else await this.release(version, signal)
  }

  /**
   * Deletes a key that names this host but isn't held by a lease of it. Failure: the write of the key takes effect late, after
   * its lease has expired. The key would then never be removed, and no host would lend for the region.
   */
  private async release (version: number, signal: AbortSignal): Promise<void> {
    const { platform, lender } = this.parts
    lender.dropAuthority()
    this.leaseId = undefined
    this.lenderName = undefined
    await platform.delete(this.key, version, signal)
  }

  private async read (signal: AbortSignal): Promise<{ holder: RosterHost | undefined, version: number }> {
    const { platform, clock } = this.parts
    const entry = await platform.get(this.key, signal)
    const holder = entry === undefined ? undefined : parseLender(entry.value)
    this.lenderName = holder?.name
    this.readAt = clock.getNow()
    this.isReadRequested = false
    return { holder, version: entry?.version ?? 0 }
  }

  private async take (version: number, signal: AbortSignal): Promise<void> {
    const { platform, self, clock, log, region } = this.parts
    const sentAt = clock.getNow()
    this.leaseId = await platform.grantLease(LEASE_TTL_MS, signal)
    const { stored } = await platform.put(this.key, JSON.stringify(self), version, signal, this.leaseId)
    if (!stored) {
      await platform.releaseLease(this.leaseId, signal)
      return
    }
    this.lenderName = self.name
    this.acceptAuthority(sentAt, await this.recordFirstLender(signal))
    log.info({ region, lender: self }, 'became region lender')
  }

  /**
   * Returns true for the first host that ever lends for the region, which needn't wait until the loans of a former lender end.
   * The key `lent/<region>` is bound to no lease and is written before the first loan. If the answer to the write is lost, the
   * next try returns false, which only costs that wait.
   */
  private async recordFirstLender (signal: AbortSignal): Promise<boolean> {
    const { platform, self, region } = this.parts
    const { stored } = await platform.put(`lent/${region}`, JSON.stringify(self), 0, signal)
    return stored
  }

  /** The authority runs from the grant or renewal of the lease that holds the key, so it is valid even if the write of the key was slow. */
  private acceptAuthority (sentAt: number, isFirst: boolean): void {
    const { lender, clock, drift } = this.parts
    lender.acceptAuthority(sentAt, LEASE_TTL_MS * (1 - drift), isFirst, clock.getNow())
  }

  private get key (): string {
    return `lenders/${this.parts.region}`
  }
}
