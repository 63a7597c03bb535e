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

/** A host's loan lasts 1 s: a quarter of it, so that two renewals may be lost. */
const ROUND_MS = 250

/** Borrows and returns capacity of the region's limits. Each limit has at most one request under way, by its own count. */
export class LoanTask {
  constructor (private readonly parts: LoanTaskParts) {}

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { limits, clock } = this.parts
    while (!signal.aborted) {
      for (const planned of limits.planLoans(clock.getNow())) this.borrow(planned, signal).catch(() => undefined)
      await clock.sleep(ROUND_MS, signal)
    }
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
