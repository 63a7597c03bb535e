import type Logger from 'bunyan'
import { computeBackoff } from '../../process/configuration/computeBackoff.js'
import { AlmondrelayError } from '../../process/errors/almondrelayError.js'
import { ErrorKind } from '../../process/errors/errorKind.js'
import { decideRoster } from '../../process/limits/decideRoster.js'
import type { HostSlots } from '../../process/limits/hostSlots.js'
import type { Roster } from '../../process/limits/roster.js'
import type { RosterHost } from '../../process/limits/rosterHost.js'
import type { Clock } from '../../process/platform/clock.js'
import type { Platform } from '../../process/platform/platform.js'
import type { Random } from '../../request/random.js'
import { parseRoster } from './parseRoster.js'

interface RosterKeeperParts {
  platform: Platform
  slots: HostSlots
  self: RosterHost
  availabilityZone: string
  /** Whether this host is one of the two of its zone that watch the platform; asked before each call. */
  isWatcher: () => boolean
  clock: Clock
  random: Random
  log: Logger
}

/** How often a host that isn't a watcher looks whether it has reason to read the roster. */
const IDLE_MS = 250
const WATCH_MS = 5_000
/** Longest age of what a host that isn't a watcher has read: 4,800 hosts make 80 reads a second of it, 4% of the platform's. */
const REREAD_MS = 60_000
/** Hosts with the same reason to write spread their tries over this, so that most find it done. */
const SPREAD_MS = 200

/**
 * Keeps the zone's roster on the platform: a write for each join, and for each loss on definitive
 * evidence; none for silence. A host that is neither joining nor told of a later version by a peer
 * makes next to no calls. An answer that is lost after the write took effect is found by reading again.
 */
export class RosterKeeper {
  private joins = true
  private readAt = -Infinity
  private sequence = -1

  constructor (private readonly parts: RosterKeeperParts) {}

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.keep(signal), this.follow(signal)])
  }

  /** Takes this host out of the roster, after its last request has ended. Rejects when the platform gives no answer. */
  async removeSelf (signal: AbortSignal): Promise<void> {
    this.joins = false
    while (!signal.aborted && await this.update(signal)) await this.parts.clock.sleep(SPREAD_MS * this.parts.random(), signal)
  }

  private async keep (signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.parts
    let failures = 0
    while (!signal.aborted) {
      if (!this.hasReason()) {
        await clock.sleep(IDLE_MS, signal)
        continue
      }
      await clock.sleep(SPREAD_MS * random(), signal)
      try {
        await this.update(signal)
        failures = 0
      } catch (error) {
        if (signal.aborted) return
        log.warn({ err: error, failures }, 'roster not kept')
        await clock.sleep(computeBackoff(failures, random), signal)
        failures += 1
      }
    }
  }

  private async follow (signal: AbortSignal): Promise<void> {
    const { clock, random, isWatcher, log } = this.parts
    let failures = 0
    while (!signal.aborted) {
      if (!isWatcher()) {
        await clock.sleep(IDLE_MS, signal)
        continue
      }
      try {
        await this.watch(signal)
        failures = 0
      } catch (error) {
        if (signal.aborted) return
        log.warn({ err: error, failures }, 'roster not watched')
        await clock.sleep(computeBackoff(failures, random), signal)
        failures += 1
      }
    }
  }

  private async watch (signal: AbortSignal): Promise<void> {
    const result = await this.parts.platform.watch(this.key, this.sequence, this.sequence < 0 ? 0 : WATCH_MS, signal)
    if (this.sequence < 0 || result.events.length > 0) this.readAt = -Infinity
    this.sequence = result.sequence
  }

  private hasReason (): boolean {
    const { slots: { claims }, clock } = this.parts
    const isStale = clock.getNow() >= this.readAt + REREAD_MS
    return (this.joins && !claims.isMember) || claims.isBehind || claims.gone.length > 0 || isStale
  }

  /** Reads and adopts the roster and writes the next one where one is due; true when it wrote or lost a race. */
  private async update (signal: AbortSignal): Promise<boolean> {
    const { platform, slots, self, availabilityZone, clock, log } = this.parts
    const entry = await platform.get(this.key, signal)
    const roster = entry === undefined ? undefined : this.requireRoster(entry.value)
    this.readAt = clock.getNow()
    if (roster !== undefined) slots.adoptRoster(roster, this.readAt)
    const next = decideRoster({ roster, availabilityZone, self, joins: this.joins, gone: slots.claims.gone })
    if (next === undefined) return false
    const result = await platform.put(this.key, JSON.stringify(next), entry?.version ?? 0, signal)
    if (result.stored) {
      log.info({ roster: next, former: roster }, 'roster written')
      slots.adoptRoster(next, clock.getNow())
    }
    return true
  }

  /** Guards against a value that is no roster: taken for an absent one, it would start the versions again and hosts would hold parts twice. */
  private requireRoster (value: string): Roster {
    const roster = parseRoster(value)
    if (roster === undefined) {
      throw new AlmondrelayError({ kind: ErrorKind.platformUnavailable, message: `the platform's key ${this.key} holds no roster`, remedy: 'restore it from a host of the zone; hosts go on with the roster that they have' })
    }
    return roster
  }

  private get key (): string {
    return `roster/${this.parts.availabilityZone}`
  }
}
