import { sleepFor } from 'almondrelay'
import type { CallerServer } from '../../connection/callerServer.js'

/**
 * Milliseconds after the stop signal during which the caller port still accepts connections, for callers that use an earlier
 * look-up answer: the time to live of such an answer plus the time of a look-up.
 */
const ACCEPT_AFTER_STOP_MS = 3_000
/** Milliseconds after that within which a request must have arrived in full: callers give one up that isn't read within a second. */
const ARRIVAL_TIMEOUT_MS = 1_000
/** Milliseconds of the grace period that are reserved for writing the last answers before the process is killed. */
const GRACE_MARGIN_MS = 300
/** Milliseconds for which callers may still receive their last answers: the end of the process resets connections with unread bytes. */
const LINGER_MS = 500
/** Milliseconds between checks for unanswered requests. */
const CHECK_INTERVAL_MS = 50

interface StopParts {
  callers: Pick<CallerServer, 'leave' | 'close' | 'countUnanswered' | 'countArriving' | 'countLingering'>
  /** Number of attempts that this host carries for others. */
  countCarried: () => number
  /** Milliseconds from the stop signal after which the process is killed. */
  graceMs: number
  getNow: () => number
}

/** Ends the requests of a host that is being stopped, and takes on none that can't be answered before its process ends. */
export class PlannedStop {
  /** Monotonic milliseconds by which all requests must be answered; Infinity before the stop. */
  endsAt = Infinity
  /** Whether no more requests are taken on, so that none runs when the process ends. */
  isFinishing = false

  constructor (private readonly parts: StopParts) {}

  /** Resolves when the requests are answered or the grace period is over; from then on, each further request is refused. */
  async run (): Promise<void> {
    const { callers, graceMs, getNow } = this.parts
    this.endsAt = getNow() + graceMs - GRACE_MARGIN_MS
    callers.leave()
    const neverAborted = new AbortController().signal
    await sleepFor(ACCEPT_AFTER_STOP_MS, neverAborted)
    callers.close()
    const arrivalEndsAt = getNow() + ARRIVAL_TIMEOUT_MS
    while (this.isBusy(arrivalEndsAt, getNow())) await sleepFor(CHECK_INTERVAL_MS, neverAborted)
    this.isFinishing = true
    const lingerEndsAt = Math.min(getNow() + LINGER_MS, this.endsAt)
    while (callers.countLingering() > 0 && getNow() < lingerEndsAt) await sleepFor(CHECK_INTERVAL_MS, neverAborted)
  }

  private isBusy (arrivalEndsAt: number, now: number): boolean {
    const { callers, countCarried } = this.parts
    if (now >= this.endsAt) return false
    return callers.countUnanswered() + countCarried() > 0 || (now < arrivalEndsAt && callers.countArriving() > 0)
  }
}
