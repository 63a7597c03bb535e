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

interface RosterTaskParts {
  platform: Platform
  slots: HostSlots
  self: RosterHost
  availabilityZone: string
  /** Whether this host is one of the two hosts of its zone that watch the platform; checked before each watch call. */
  isWatcher: () => boolean
  clock: Clock
  random: Random
  log: Logger
}

/** Interval at which a host checks whether an update of the roster is due, or whether it has become a watcher. */
const CHECK_INTERVAL_MS = 250
const WATCH_TIMEOUT_MS = 5_000
/** Maximum age of the roster that a host has read. 4,800 hosts make 80 reads a second, which is 4% of the platform's read capacity. */
const MAX_ROSTER_AGE_MS = 60_000
/** Random delay before an update: hosts with the same reason to write are spread over it, so that most find the roster already written. */
const MAX_WRITE_DELAY_MS = 200

/**
 * Maintains the zone's roster on the platform. The roster is written when a host joins and when there is definitive
 * evidence that a host is gone, but never because of missing reports alone. A host that isn't joining and whose peers have
 * no later version makes almost no calls. If the answer to a write is lost, the next read shows that the write took effect.
 */
export class RosterTask {
  private isJoining = true
  private readAt = -Infinity
  private sequence = -1

  constructor (private readonly parts: RosterTaskParts) {}

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.updateWhenDue(signal), this.runWatch(signal)])
  }

  /** Removes this host from the roster; call it after the last request of the host has ended. Rejects if the platform does not answer. */
  async removeSelf (signal: AbortSignal): Promise<void> {
    this.isJoining = false
    while (!signal.aborted && await this.update(signal)) await this.parts.clock.sleep(MAX_WRITE_DELAY_MS * this.parts.random(), signal)
  }

  private async updateWhenDue (signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.parts
    let failures = 0
    while (!signal.aborted) {
      if (!this.isUpdateDue()) {
        await clock.sleep(CHECK_INTERVAL_MS, signal)
        continue
      }
      await clock.sleep(MAX_WRITE_DELAY_MS * random(), signal)
      try {
        await this.update(signal)
        failures = 0
      } catch (error) {
        if (signal.aborted) return
        log.warn({ err: error, failures }, 'roster update failed')
        await clock.sleep(computeBackoff(failures, random), signal)
        failures += 1
      }
    }
  }

  private async runWatch (signal: AbortSignal): Promise<void> {
    const { clock, random, isWatcher, log } = this.parts
    let failures = 0
    while (!signal.aborted) {
      if (!isWatcher()) {
        await clock.sleep(CHECK_INTERVAL_MS, signal)
        continue
      }
      try {
        await this.watch(signal)
        failures = 0
      } catch (error) {
        if (signal.aborted) return
        log.warn({ err: error, failures }, 'roster watch failed')
        await clock.sleep(computeBackoff(failures, random), signal)
        failures += 1
      }
    }
  }

  private async watch (signal: AbortSignal): Promise<void> {
    const result = await this.parts.platform.watch(this.key, this.sequence, this.sequence < 0 ? 0 : WATCH_TIMEOUT_MS, signal)
    if (this.sequence < 0 || result.events.length > 0) this.readAt = -Infinity
    this.sequence = result.sequence
  }

  private isUpdateDue (): boolean {
    const { slots: { claims }, clock } = this.parts
    const isStale = clock.getNow() >= this.readAt + MAX_ROSTER_AGE_MS
    return (this.isJoining && !claims.isMember) || claims.isBehind || claims.gone.length > 0 || isStale
  }

  /** Reads and adopts the roster and writes a new version if one is due. Returns true if it wrote, or if another host wrote first. */
  private async update (signal: AbortSignal): Promise<boolean> {
    const { platform, slots, self, availabilityZone, clock, log } = this.parts
    const entry = await platform.get(this.key, signal)
    const roster = entry === undefined ? undefined : this.requireRoster(entry.value)
    this.readAt = clock.getNow()
    if (roster !== undefined) slots.adoptRoster(roster, this.readAt)
    const next = decideRoster({ roster, availabilityZone, self, joins: this.isJoining, gone: slots.claims.gone })
    if (next === undefined) return false
    const result = await platform.put(this.key, JSON.stringify(next), entry?.version ?? 0, signal)
    if (result.stored) {
      log.info({ roster: next, former: roster }, 'roster written')
      slots.adoptRoster(next, clock.getNow())
    }
    return true
  }

  /** Rejects an invalid value. If it were treated as an absent roster, versions would restart and two hosts could hold the same part. */
  private requireRoster (value: string): Roster {
    const roster = parseRoster(value)
    if (roster === undefined) {
      throw new AlmondrelayError({ kind: ErrorKind.platformUnavailable, message: `the value of the platform's key ${this.key} is not a valid roster`, remedy: 'restore the roster from a host of the zone; until then hosts keep the last roster that they read' })
    }
    return roster
  }

  private get key (): string {
    return `roster/${this.parts.availabilityZone}`
  }
}
