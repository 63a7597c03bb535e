import { MOST_UNACCEPTED } from './mostUnaccepted.js'

/**
 * Milliseconds of work on requests in one turn of the event loop, and while connections come in.
 *
 * The runtime accepts one connection a turn (measured: 100 that wait take 100 turns). With 20 requests of a millisecond
 * in each turn that is 50 a second, and callers who connect wait for seconds in the queue of the port, though the
 * host answers those that are connected at once. A slice is about five requests, or one while connections come in.
 */
const SLICE_MS = 4
const ACCEPTING_SLICE_MS = 1

interface Waiting {
  queuedAt: number
  run: (queuedAt: number) => void
}

/**
 * Lets requests in one after the other, a slice of work in each turn of the event loop.
 *
 * Answers many requests that are ready at once, as after a restart of all hosts: what the loop does besides, accepting
 * connections, hearing that a caller left, timers, goes on between the slices instead of after all of them.
 */
export class TurnQueue {
  private readonly waiting: Waiting[] = []
  private turn = 0
  private turnStartedAt = 0
  private hasAccepted = false
  /** Since when every turn of the loop has accepted a connection; undefined where the last one did not. */
  private acceptingSince: number | undefined
  /** Connections accepted since then. */
  private accepted = 0

  /** @param getNow monotonic milliseconds */
  constructor (private readonly getNow: () => number) {}

  /**
   * The first request of a connection waits a turn more. Its connection may have waited long to be accepted, or its
   * opening packet was lost and sent again a second later: a caller that left meanwhile is heard a turn after its request
   * is, and carried out at once the request would go on to a target for nobody.
   *
   * @param run told when it was queued, in monotonic milliseconds
   */
  push (run: (queuedAt: number) => void, isFirst: boolean): void {
    this.waiting.push({ queuedAt: this.getNow(), run })
    if (isFirst) setImmediate(() => { this.schedule() })
    else this.schedule()
  }

  /** Notes that a connection was accepted: more may wait. */
  observeAccept (): void {
    this.hasAccepted = true
    this.accepted += 1
    if (this.acceptingSince !== undefined) return
    this.acceptingSince = this.getNow()
    this.accepted = 1
    setImmediate(() => { this.checkAccepting() })
  }

  /**
   * For how long a connection waits to be accepted at most, in milliseconds. As long as every turn accepts one, more come in
   * than are accepted and they wait unseen in the queue of the port; the queue is as long as this has gone on, and no
   * longer than the port's, each place a turn. Without that second bound a host that accepts a connection in each turn for
   * two seconds took itself for two seconds late, and refused nine of ten whom it could have served.
   */
  computeAcceptDelay (now: number): number {
    if (this.acceptingSince === undefined) return 0
    const lastsMs = Math.max(0, now - this.acceptingSince)
    return Math.min(lastsMs, lastsMs / this.accepted * MOST_UNACCEPTED)
  }

  /** How long the first in the queue has waited, in milliseconds; 0 where none waits. */
  computeDelay (now: number): number {
    const [first] = this.waiting
    return first === undefined ? 0 : Math.max(0, now - first.queuedAt)
  }

  private checkAccepting (): void {
    if (!this.hasAccepted) {
      this.acceptingSince = undefined
      return
    }
    this.hasAccepted = false
    setImmediate(() => { this.checkAccepting() })
  }

  // One immediate for each request, so that the runtime carries out what a request has pending before the next one.
  private schedule (): void {
    const { turn } = this
    setImmediate(() => { this.runNext(turn) })
  }

  /** @param scheduledIn turn in which this was scheduled; the first one of a turn begins the next */
  private runNext (scheduledIn: number): void {
    const now = this.getNow()
    if (scheduledIn >= this.turn) {
      this.turn = scheduledIn + 1
      this.turnStartedAt = now
    }
    const sliceMs = this.acceptingSince !== undefined ? ACCEPTING_SLICE_MS : SLICE_MS
    if (now - this.turnStartedAt >= sliceMs) {
      this.schedule()
      return
    }
    const next = this.waiting.shift()
    next?.run(next.queuedAt)
  }
}
