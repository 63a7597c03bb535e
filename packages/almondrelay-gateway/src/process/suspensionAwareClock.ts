import type { TimeSources } from './timeSources.js'

/** Minimum advance of the wall clock over the steady clock, in milliseconds, at which the uptime is checked for a suspension. */
const MIN_GAP_MS = 250
/** Milliseconds by which wall clock and uptime may disagree about a suspension: uptime has a resolution of 10 ms. */
const TOLERANCE_MS = 100

/**
 * Monotonic clock that also counts the time during which the machine was suspended.
 *
 * The steady clock of the system stands still during a suspension. By it alone, a machine that resumes after some seconds
 * would treat outdated state of targets as fresh and run requests for callers that have already given up. The first reading
 * after a suspension therefore jumps by its length, which corrects every age and deadline. The wall clock alone is no proof
 * of a suspension, because it may be set by others: the uptime must show the same gap.
 */
export class SuspensionAwareClock {
  /** Milliseconds of all suspensions so far. */
  private suspendedMs = 0
  private lastSteady: number
  private lastWall: number
  private readonly startSteady: number
  private readonly startUptime: number

  /** @param handleGap called with the length of each suspension in milliseconds when it is detected */
  constructor (private readonly sources: TimeSources, private readonly handleGap: (gapMs: number) => void) {
    this.lastSteady = sources.readSteady()
    this.lastWall = sources.readWall()
    this.startSteady = this.lastSteady
    this.startUptime = sources.readUptime()
  }

  /** Monotonic milliseconds. */
  readonly getNow = (): number => {
    const steady = this.sources.readSteady()
    const wall = this.sources.readWall()
    const jumpMs = wall - this.lastWall - (steady - this.lastSteady)
    this.lastSteady = steady
    this.lastWall = wall
    if (jumpMs >= MIN_GAP_MS) this.checkGap(jumpMs, steady)
    return steady + this.suspendedMs
  }

  private checkGap (jumpMs: number, steady: number): void {
    const totalSuspendedMs = this.sources.readUptime() - this.startUptime - (steady - this.startSteady)
    const gapMs = totalSuspendedMs - this.suspendedMs
    if (Math.abs(gapMs - jumpMs) > TOLERANCE_MS) return
    this.suspendedMs += gapMs
    this.handleGap(gapMs)
  }
}
