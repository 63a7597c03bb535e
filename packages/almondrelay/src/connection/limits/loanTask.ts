import type { PlannedLoan } from '../../process/limits/plannedLoan.js'
import type { RegionLimits } from '../../process/limits/regionLimits.js'
import type { Clock } from '../../process/platform/clock.js'
import { LenderKind } from './lenderKind.js'
import type { LoanPeers } from './loanPeers.js'

interface LoanTaskParts {
  limits: RegionLimits
  peers: LoanPeers
  clock: Clock
  /** Returns the name of the host that lends for the region; undefined while none is known. */
  findRegionLender: () => string | undefined
}

/** Short compared with the 3 s term of a host's loan, so that due renewals are sent in time. A round with nothing due makes no call. */
const MAX_ROUND_INTERVAL_MS = 250
/** Minimum time between two rounds, however many requests are waiting. */
const MIN_ROUND_INTERVAL_MS = 25

/** Borrows and returns capacity of the region's limits. RegionLimits plans at most one pending loan request for each limit. */
export class LoanTask {
  private wakeUp: (() => void) | undefined

  constructor (private readonly parts: LoanTaskParts) {}

  /** Starts the next round at once, because requests are waiting for capacity. */
  wake (): void {
    this.wakeUp?.()
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { limits, clock } = this.parts
    while (!signal.aborted) {
      for (const planned of limits.planLoans(clock.getNow())) this.borrow(planned, signal).catch(() => undefined)
      await clock.sleep(MIN_ROUND_INTERVAL_MS, signal)
      await this.waitForNextRound(signal)
    }
  }

  private async waitForNextRound (signal: AbortSignal): Promise<void> {
    const controller = new AbortController()
    const finish = (): void => { controller.abort() }
    this.wakeUp = finish
    signal.addEventListener('abort', finish)
    await this.parts.clock.sleep(MAX_ROUND_INTERVAL_MS - MIN_ROUND_INTERVAL_MS, controller.signal)
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
