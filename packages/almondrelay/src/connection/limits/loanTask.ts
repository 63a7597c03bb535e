import type { PlannedLoan } from '../../process/limits/plannedLoan.js'
import type { RegionLimits } from '../../process/limits/regionLimits.js'
import type { Clock } from '../../process/platform/clock.js'
import { LenderKind } from './lenderKind.js'
import type { LoanPeers } from './loanPeers.js'

interface LoanTaskParts {
  limits: RegionLimits
  peers: LoanPeers
  clock: Clock
  /** Name of the host that lends for the region; undefined while none is known. */
  findRegionLender: () => string | undefined
}

/** A small part of the 3 s that a host's loan lasts: a renewal that is due waits little, and an idle round costs no call. */
const ROUND_MS = 250
/** Least time between two rounds, however many requests wait. */
const SHORTEST_ROUND_MS = 25

/** Borrows and returns capacity of the region's limits. Each limit has at most one request under way, by its own count. */
export class LoanTask {
  private wakeUp: (() => void) | undefined

  constructor (private readonly parts: LoanTaskParts) {}

  /** Requests wait for room: borrows now instead of at the next round. */
  wake (): void {
    this.wakeUp?.()
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { limits, clock } = this.parts
    while (!signal.aborted) {
      for (const planned of limits.planLoans(clock.getNow())) this.borrow(planned, signal).catch(() => undefined)
      await clock.sleep(SHORTEST_ROUND_MS, signal)
      await this.waitForRound(signal)
    }
  }

  private async waitForRound (signal: AbortSignal): Promise<void> {
    const round = new AbortController()
    const finish = (): void => { round.abort() }
    this.wakeUp = finish
    signal.addEventListener('abort', finish)
    await this.parts.clock.sleep(ROUND_MS - SHORTEST_ROUND_MS, round.signal)
    signal.removeEventListener('abort', finish)
    this.wakeUp = undefined
  }

  private async borrow (planned: PlannedLoan, signal: AbortSignal): Promise<void> {
    const { limits, peers, findRegionLender } = this.parts
    const host = planned.host ?? findRegionLender()
    if (host === undefined) return
    const kind = planned.host === undefined ? LenderKind.region : LenderKind.zone
    const answer = await peers.tryBorrowCapacity(host, kind, planned.request, signal)
    if (answer !== undefined) limits.acceptLoan(planned, answer)
  }
}
