import { sleepFor } from 'almondrelay'
import { computeConnectTimeout } from '../../connection/computeConnectTimeout.js'
import { ConnectFailure } from '../../connection/connectFailure.js'
import type { TargetState } from '../../request/targetState.js'
import type { TargetPools } from './targetPools.js'
import type { RoundTripTimes } from './roundTripTimes.js'

/** Maximum number of probes of a target in a row. */
const MAX_PROBES = 3
/** Milliseconds between two probes. */
const PROBE_INTERVAL_MS = 150

/** Probes whether a target that left a request unanswered still listens. The target's pool reports failures to its observer. */
export class TargetProber {
  private readonly running = new Set<TargetState>()

  constructor (private readonly pools: TargetPools, private readonly roundTripTimes: RoundTripTimes, private readonly signal: AbortSignal) {}

  async probe (target: TargetState): Promise<void> {
    if (this.running.has(target)) return
    this.running.add(target)
    try {
      for (let count = 0; count < MAX_PROBES && !await this.probeOnce(target); count += 1) await sleepFor(PROBE_INTERVAL_MS, this.signal)
    } finally {
      this.running.delete(target)
    }
  }

  // Returns true once no further probe is needed. A refused connection is conclusive only after all other connections have
  // closed, because those to an exited target may still look open. Other failures are not: a probe may be lost.
  private async probeOnce (target: TargetState): Promise<boolean> {
    const pool = this.pools.find(target)
    if (pool === undefined || this.signal.aborted) return true
    const result = await pool.probe(target.entry, computeConnectTimeout(this.roundTripTimes.find(target.entry.region)))
    if (result.kind === 'connected') {
      // A process that exits may close its connections before its port, and a probe connects in between.
      await sleepFor(PROBE_INTERVAL_MS, this.signal)
      return !pool.isUnconnected
    }
    if (result.failure === ConnectFailure.targetLeft) return true
    return result.failure === ConnectFailure.refused && pool.isUnconnected
  }
}
