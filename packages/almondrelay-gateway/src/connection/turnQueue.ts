import { LISTEN_BACKLOG } from './listenBacklog.js'

/**
 * Milliseconds of work on requests in one turn of the event loop, and the same while connections arrive.
 *
 * Node accepts one connection per turn (measured: 100 waiting connections take 100 turns). With 20 requests of a millisecond in
 * each turn, 50 connections are accepted per second: new callers wait for seconds in the backlog of the port, while the host
 * answers connected ones at once. A slice is about five requests, or one request while connections arrive.
 */
const SLICE_MS = 4
const ACCEPTING_SLICE_MS = 1

interface QueuedRequest {
  owner: object
  /** Monotonic milliseconds at which the request was read. */
  readAt: number
  /** Monotonic milliseconds since which the request is the next one of its owner. */
  queuedAt: number
  run: (readAt: number) => void
}

/**
 * Runs requests one after the other, a slice of work in each turn of the event loop.
 *
 * When many requests are ready at once, as after a restart of all hosts, the other work of the loop (accepting connections, noticing
 * that callers disconnected, timers) runs between the slices instead of after all requests.
 *
 * Owners take turns: a caller that sends many requests ahead delays its own requests, and not those of others.
 */
export class TurnQueue {
  /** The next request of each owner. */
  private readonly waiting: QueuedRequest[] = []
  /** Owners that have a request in `waiting`, with their further ones; undefined for none. */
  private readonly backlogs = new Map<object, QueuedRequest[] | undefined>()
  private turn = 0
  private turnStartedAt = 0
  private hasAcceptedInTurn = false
  /** Since when every turn of the loop has accepted a connection; undefined if the last turn accepted none. */
  private acceptingSince: number | undefined
  /** Number of connections accepted since `acceptingSince`. */
  private accepted = 0

  /** @param getNow monotonic milliseconds */
  constructor (private readonly getNow: () => number) {}

  /**
   * Queues a request. The first request of a connection is delayed by one turn: the connection may have waited long to be accepted, or
   * its SYN packet was lost and sent again a second later. If the caller has disconnected by then, this is noticed one turn after the
   * request is read; without the delay the request would be sent to a target although nobody waits for the answer.
   *
   * @param run called with the time at which the request was queued, in monotonic milliseconds
   * @param owner whose requests are run in their order, one in each turn of all owners
   */
  push (run: (readAt: number) => void, owner: object, isFirst: boolean): void {
    const now = this.getNow()
    const request = { owner, readAt: now, queuedAt: now, run }
    if (this.backlogs.has(owner)) {
      const backlog = this.backlogs.get(owner)
      if (backlog === undefined) this.backlogs.set(owner, [request])
      else backlog.push(request)
      return
    }
    this.backlogs.set(owner, undefined)
    this.waiting.push(request)
    if (isFirst) setImmediate(() => { this.schedule() })
    else this.schedule()
  }

  /** Drops the requests of an owner, except for one that may be the next to run. */
  drop (owner: object): void {
    if (this.backlogs.get(owner) !== undefined) this.backlogs.set(owner, undefined)
  }

  /** Records that a connection was accepted: more may be waiting. */
  observeAccept (): void {
    this.hasAcceptedInTurn = true
    this.accepted += 1
    if (this.acceptingSince !== undefined) return
    this.acceptingSince = this.getNow()
    this.accepted = 1
    setImmediate(() => { this.checkAccepting() })
  }

  /**
   * Estimates the maximum time for which a connection waits to be accepted, in milliseconds.
   *
   * While every turn accepts a connection, more may be waiting in the backlog of the port, which this process can't see. The
   * estimate is the time for which this has lasted, bounded by the time that a full backlog takes at one connection per turn. Without
   * that bound, a host that accepted a connection in each turn for two seconds assumed a delay of two seconds, and refused
   * nine out of ten requests that it could have served.
   */
  computeAcceptDelay (now: number): number {
    if (this.acceptingSince === undefined) return 0
    const acceptingMs = Math.max(0, now - this.acceptingSince)
    return Math.min(acceptingMs, acceptingMs / this.accepted * LISTEN_BACKLOG)
  }

  /** Returns how long the first request in the queue has waited, in milliseconds; 0 if the queue is empty. */
  computeDelay (now: number): number {
    const [first] = this.waiting
    return first === undefined ? 0 : Math.max(0, now - first.queuedAt)
  }

  private checkAccepting (): void {
    if (!this.hasAcceptedInTurn) {
      this.acceptingSince = undefined
      return
    }
    this.hasAcceptedInTurn = false
    setImmediate(() => { this.checkAccepting() })
  }

  /** Queues the next request of an owner whose turn it was. */
  private addNextOf (owner: object): void {
    const next = this.backlogs.get(owner)?.shift()
    if (next === undefined) {
      this.backlogs.delete(owner)
      return
    }
    next.queuedAt = this.getNow()
    this.waiting.push(next)
    this.schedule()
  }

  // One immediate per request, so that Node runs the pending microtasks of a request before the next one.
  private schedule (): void {
    const { turn } = this
    setImmediate(() => { this.runNext(turn) })
  }

  /** @param scheduledIn turn in which this call was scheduled; the first call scheduled in the current turn begins the next one */
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
    if (next === undefined) return
    this.addNextOf(next.owner)
    next.run(next.readAt)
  }
}
