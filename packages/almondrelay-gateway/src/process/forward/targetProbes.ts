import { sleepFor } from 'almondrelay'
import { ConnectFailure } from '../../connection/connectFailure.js'
import type { TargetState } from '../../request/targetState.js'
import type { TargetPools } from './targetPools.js'
import type { TripTimes } from './tripTimes.js'

/** How often a target is probed, and the milliseconds in between and for an answer, besides the trip. */
const PROBES = 3
const PROBE_PAUSE_MS = 150
const PROBE_TIMEOUT_MS = 300

/** Looks whether a target that lost a request's answer still listens; a pool tells its observer what came of it. */
export class TargetProbes {
  private readonly running = new Set<TargetState>()

  constructor (private readonly pools: TargetPools, private readonly trips: TripTimes, private readonly signal: AbortSignal) {}

  async probe (target: TargetState): Promise<void> {
    if (this.running.has(target)) return
    this.running.add(target)
    try {
      for (let probe = 0; probe < PROBES && !await this.hasVerdict(target); probe += 1) await sleepFor(PROBE_PAUSE_MS, this.signal)
    } finally {
      this.running.delete(target)
    }
  }

  // Other connections to a target that has ended may not have heard of it yet, and a probe may be lost.
  private async hasVerdict (target: TargetState): Promise<boolean> {
    const pool = this.pools.find(target)
    if (pool === undefined || this.signal.aborted) return true
    const result = await pool.probe(target.entry, PROBE_TIMEOUT_MS + 2 * this.trips.find(target.entry.region))
    if (result.kind === 'connected' || result.failure === ConnectFailure.targetLeft) return true
    return result.failure === ConnectFailure.refused && pool.isUnconnected
  }
}
