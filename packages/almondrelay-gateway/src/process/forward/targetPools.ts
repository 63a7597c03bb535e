import type { ConnectFailure } from '../../connection/connectFailure.js'
import type { ConnectionParts } from '../../connection/connectionParts.js'
import type { OpenCause } from '../../connection/openCause.js'
import type { StrayAnswer } from '../../connection/strayAnswer.js'
import { TargetPool } from '../../connection/targetPool.js'
import type { TargetState } from '../../request/targetState.js'
import type { RoundTripTimes } from './roundTripTimes.js'

interface PoolsObserver {
  countOpened: (region: string, cause: OpenCause) => void
  observeConnect: (target: TargetState) => void
  /** @param isUnconnected whether this host has no other open connection to the target */
  observeFailure: (target: TargetState, failure: ConnectFailure, isUnconnected: boolean) => void
  /** Called with each answer of a target that is not known to be the awaited one. */
  observeStray: (target: TargetState, stray: StrayAnswer) => void
}

/** Connection pools of all targets. */
export class TargetPools {
  private readonly pools = new Map<string, TargetPool>()

  constructor (private readonly parts: Omit<ConnectionParts, 'observeStray'>, private readonly roundTripTimes: RoundTripTimes, private readonly observer: PoolsObserver) {}

  get (target: TargetState): TargetPool {
    const { id, region } = target.entry
    const known = this.pools.get(id)
    if (known !== undefined) return known
    const pool = new TargetPool({ ...this.parts, observeStray: (stray) => { this.observer.observeStray(target, stray) } }, {
      countOpened: (cause) => { this.observer.countOpened(region, cause) },
      observeFailure: (failure, isUnconnected) => { this.observer.observeFailure(target, failure, isUnconnected) },
      observeConnect: (durationMs) => {
        this.roundTripTimes.update(region, durationMs)
        this.observer.observeConnect(target)
      }
    })
    this.pools.set(id, pool)
    return pool
  }

  /** Returns the pool of a target; undefined if the target has left or was never connected to. */
  find (target: TargetState): TargetPool | undefined {
    return this.pools.get(target.entry.id)
  }

  /** Removes the pool of a target that has left: running requests continue, and no new ones are sent. */
  remove (targetId: string): void {
    this.pools.get(targetId)?.closeWhenFree()
    this.pools.delete(targetId)
  }

  /** Closes all connections to a target whose incarnation has ended: running requests end as broken. */
  abort (targetId: string): void {
    this.pools.get(targetId)?.closeAll('target was started again')
    this.pools.delete(targetId)
  }

  /** Closes all connections: running requests end as broken. */
  abortAll (reason: string): void {
    for (const pool of this.pools.values()) pool.closeAll(reason)
    this.pools.clear()
  }

  closeIdle (now: number): void {
    for (const pool of this.pools.values()) pool.closeIdle(now)
  }
}
