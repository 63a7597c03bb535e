import type { LoanAnswer } from '../../process/limits/loanAnswer.js'
import type { LoanRequest } from '../../process/limits/loanRequest.js'
import type { RegionLender } from '../../process/limits/regionLender.js'
import type { RegionLimits } from '../../process/limits/regionLimits.js'
import type { RosterHost } from '../../process/limits/rosterHost.js'
import { LenderKind } from './lenderKind.js'

interface Lenders {
  limits: RegionLimits
  lender: RegionLender
}

/** Handles a request for a loan. Returns undefined, and lends nothing, if this host isn't a lender of the requested kind. */
export function handleLoan (handlers: Lenders, borrower: RosterHost, kind: LenderKind, request: LoanRequest, now: number): LoanAnswer | undefined {
  return kind === LenderKind.region ? handlers.lender.lend(borrower, request, now) : handlers.limits.lend(borrower, request, now)
}
