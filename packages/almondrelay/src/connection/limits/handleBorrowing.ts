import type { BorrowCapacityRequest } from 'almondrelay-protocol'
import type { RegionLender } from '../../process/limits/regionLender.js'
import type { RegionLimits } from '../../process/limits/regionLimits.js'
import { handleLoan } from './handleLoan.js'
import { LenderKind } from './lenderKind.js'
import { toRosterHost } from './toRosterHost.js'

interface Lenders {
  limits: RegionLimits
  lender: RegionLender
}

/** Handles a peer's request for a loan; the result has the shape of BorrowCapacityResponse. */
export function handleBorrowing (lenders: Lenders, request: BorrowCapacityRequest, now: number): { isLender: boolean, termMs: number, loans: Array<{ id: string, amount: number, limit: number }> } {
  const borrower = toRosterHost(request.sender)
  const kind = request.lender === LenderKind.region ? LenderKind.region : LenderKind.zone
  const { limit, wanted, renewed, returned } = request
  const loan = { limit, wanted, renewed, returned, sequence: Number(request.sequence), sentAt: now }
  const answer = borrower === undefined ? undefined : handleLoan(lenders, borrower, kind, loan, now)
  if (answer === undefined) return { isLender: false, termMs: 0, loans: [] }
  return { isLender: true, termMs: Math.floor(answer.termMs), loans: answer.loans }
}
