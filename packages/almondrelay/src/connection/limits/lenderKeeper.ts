import type Logger from 'bunyan'
import { computeBackoff } from '../../process/configuration/computeBackoff.js'
import type { RegionLender } from '../../process/limits/regionLender.js'
import type { RosterHost } from '../../process/limits/rosterHost.js'
import type { Clock } from '../../process/platform/clock.js'
import type { Platform } from '../../process/platform/platform.js'
import type { Random } from '../../request/random.js'
import { parseLender } from './parseLender.js'

interface LenderKeeperParts {
  platform: Platform
  lender: RegionLender
  self: RosterHost
  region: string
  /** Whether this host is one of the two of its zone that watch the platform; only these lend. */
  isWatcher: () => boolean
  /** Relative difference of rate between this host's clock and the platform's, at most. */
  drift: number
  clock: Clock
  random: Random
  log: Logger
}

/** Term of the platform lease: 21 regions renew 7 times a second of it, under 2% of the platform's writes. */
const TTL_MS = 9_000
const ROUND_MS = 3_000

/**
 * Keeps the platform's key `lenders/<region>` with one of the region's watchers, under a platform
 * lease, and tells this host's RegionLender until when it may lend. The authority counts from the sending
 * of each call and is shorter than the platform's term by the drift, so that it is over before another host can take the key.
 */
export class LenderKeeper {
  /** Name of the region's lender, as last read. */
  current: string | undefined
  private leaseId: string | undefined

  constructor (private readonly parts: LenderKeeperParts) {}

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, random, log, isWatcher } = this.parts
    let failures = 0
    while (!signal.aborted) {
      try {
        if (isWatcher()) await this.keep(signal)
        failures = 0
        await clock.sleep(ROUND_MS * (0.75 + random() / 2), signal)
      } catch (error) {
        if (signal.aborted) return
        log.warn({ err: error, failures, region: this.parts.region }, 'region lender not kept')
        await clock.sleep(computeBackoff(failures, random), signal)
        failures += 1
      }
    }
  }

  private async keep (signal: AbortSignal): Promise<void> {
    const { platform, self, clock } = this.parts
    const entry = await platform.get(this.key, signal)
    const holder = entry === undefined ? undefined : parseLender(entry.value)
    this.current = holder?.name
    if (holder === undefined) {
      await this.take(entry?.version ?? 0, signal)
      return
    }
    if (holder.name !== self.name || holder.incarnation !== self.incarnation || this.leaseId === undefined) return
    const sentAt = clock.getNow()
    if (await platform.renewLease(this.leaseId, signal)) this.acceptAuthority(sentAt)
  }

  private async take (version: number, signal: AbortSignal): Promise<void> {
    const { platform, self, clock, log, region } = this.parts
    const sentAt = clock.getNow()
    this.leaseId = await platform.grantLease(TTL_MS, signal)
    const { stored } = await platform.put(this.key, JSON.stringify(self), version, signal, this.leaseId)
    if (!stored) {
      await platform.releaseLease(this.leaseId, signal)
      return
    }
    this.current = self.name
    this.acceptAuthority(sentAt)
    log.info({ region, lender: self }, 'region lender taken up')
  }

  /** Counts from the granting of the lease, which the key hangs on, and so holds also where the write of the key was slow. */
  private acceptAuthority (sentAt: number): void {
    const { lender, clock, drift } = this.parts
    lender.acceptAuthority(sentAt, TTL_MS * (1 - drift), clock.getNow())
  }

  private get key (): string {
    return `lenders/${this.parts.region}`
  }
}
