import type { Random } from 'almondrelay'
import { TargetFaults } from './targetFaults.js'
import type { TargetReport } from './targetReport.js'
import type { TargetRuns } from './targetRuns.js'
import type { TargetSettings } from './targetSettings.js'

type RunEnd = 'done' | 'cancelled' | 'expired'

/** What a run is counted by. */
interface RunMarks {
  requestId?: string | undefined
  operation?: string | undefined
}

/** Slots, counts, warmth and fault switches of one target. Times are milliseconds of one clock. */
export class TargetState {
  private faults = TargetFaults.parse({})
  private readonly runs = new Map<string, number>()
  private readonly operations = new Map<string, number>()
  private readonly counts = { total: 0, done: 0, cancelled: 0, expired: 0, shed: 0, running: 0, maxRunning: 0, whileLeaving: 0, lastAfterLeavingMs: 0 }
  private sinceCold = 0
  private lastBegunAt = -Infinity
  private leavingSince: number | undefined
  private report: { at: number, value: TargetReport } | undefined

  constructor (readonly settings: TargetSettings, private readonly random: Random) {}

  setFaults (faults: TargetFaults, now: number): void {
    this.faults = faults
    this.leavingSince = faults.leaving ? this.leavingSince ?? now : undefined
    if (faults.healthLagMs === undefined) this.report = undefined
  }

  getFaults (): TargetFaults {
    return this.faults
  }

  /** The faults that a request meets; counts `times` down. */
  takeFaults (): TargetFaults {
    const faults = this.faults
    if (faults.times === 1) this.faults = TargetFaults.parse({ leaving: faults.leaving, healthy: faults.healthy })
    else if (faults.times !== undefined) this.faults = { ...faults, times: faults.times - 1 }
    return faults
  }

  /** Takes a slot and counts the run; false when the request is shed. */
  begin ({ requestId, operation }: RunMarks, faults: TargetFaults, now: number): boolean {
    if (faults.shed || this.counts.running >= this.settings.slots) {
      this.counts.shed += 1
      return false
    }
    this.counts.total += 1
    this.counts.running += 1
    this.counts.maxRunning = Math.max(this.counts.maxRunning, this.counts.running)
    addCount(this.runs, requestId)
    addCount(this.operations, operation)
    if (this.leavingSince !== undefined) {
      this.counts.whileLeaving += 1
      this.counts.lastAfterLeavingMs = now - this.leavingSince
    }
    return true
  }

  finish (end: RunEnd): void {
    this.counts.running -= 1
    this.counts[end] += 1
  }

  /** Draws the service time of a request that begins now, about `meanMs` where that is given. */
  sampleServiceMs (meanMs: number | undefined, now: number): number {
    const mean = meanMs ?? this.settings.serviceTimeMs
    const { sigma } = this.settings
    const spread = Math.exp(sigma * this.sampleNormal() - sigma * sigma / 2)
    return mean * spread * this.advanceWarmth(now)
  }

  readReport (now: number): TargetReport {
    const lagMs = this.faults.healthLagMs ?? this.settings.healthLagMs
    if (this.report === undefined || now - this.report.at >= lagMs) this.report = { at: now, value: this.buildReport() }
    return this.report.value
  }

  readRuns (): TargetRuns {
    return { runs: Object.fromEntries(this.runs), operations: Object.fromEntries(this.operations), ...this.counts }
  }

  private buildReport (): TargetReport {
    const load = this.faults.lieAboutLoad ?? this.counts.running / this.settings.slots
    return { healthy: this.faults.healthy, leaving: this.faults.leaving, load, slots: this.settings.slots }
  }

  /** The factor by which a cold target is slow. */
  private advanceWarmth (now: number): number {
    const cold = this.settings.coldStart
    if (cold === undefined) return 1
    if (cold.idleMs !== undefined && now - this.lastBegunAt > cold.idleMs) this.sinceCold = 0
    this.lastBegunAt = now
    const coldness = Math.max(0, 1 - this.sinceCold / cold.requests)
    this.sinceCold += 1
    return 1 + (cold.factor - 1) * coldness
  }

  /** A standard normal draw by the Box-Muller transform. */
  private sampleNormal (): number {
    return Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random())
  }
}

function addCount (counts: Map<string, number>, name: string | undefined): void {
  if (name !== undefined) counts.set(name, (counts.get(name) ?? 0) + 1)
}
