import type { TimeSources } from './timeSources.js'

/** Difference between time of day and steady time, in milliseconds, from which on a suspension is looked for. */
const LEAST_GAP_MS = 250
/** Milliseconds by which time of day and uptime may disagree about a suspension: uptime counts in hundredths of a second. */
const TOLERANCE_MS = 100

/**
 * Monotonic time that also counts what passed while the machine was suspended.
 *
 * Guards against a machine that stops for seconds and goes on as if nothing had happened: by the steady clock alone what it
 * knew of targets is as fresh as before, callers that have given up are still waiting, and its requests run for nobody. The
 * first reading after it jumps by what was missed, so that every age and deadline is right again. Time of day alone is no
 * proof, as others set it: only where uptime shows the same gap has the machine stood still.
 */
export class SuspendedClock {
  /** Milliseconds of all suspensions so far. */
  private missedMs = 0
  private lastSteady: number
  private lastWall: number
  private readonly startSteady: number
  private readonly startUptime: number

  /** @param handleGap called with the milliseconds of each suspension, once it has been noticed */
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
    if (jumpMs >= LEAST_GAP_MS) this.checkGap(jumpMs, steady)
    return steady + this.missedMs
  }

  private checkGap (jumpMs: number, steady: number): void {
    const missedMs = this.sources.readUptime() - this.startUptime - (steady - this.startSteady)
    const gapMs = missedMs - this.missedMs
    if (Math.abs(gapMs - jumpMs) > TOLERANCE_MS) return
    this.missedMs += gapMs
    this.handleGap(gapMs)
  }
}
