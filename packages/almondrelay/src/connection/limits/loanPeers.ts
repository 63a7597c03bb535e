import type { LoanAnswer } from '../../process/limits/loanAnswer.js'
import type { LoanRequest } from '../../process/limits/loanRequest.js'
import type { LenderKind } from './lenderKind.js'

/** Calls to other entry hosts for loans, by host name. */
export abstract class LoanPeers {
  /** Undefined stands for no answer and for one from a host that isn't the lender meant. */
  abstract tryBorrowCapacity (host: string, lender: LenderKind, request: LoanRequest, signal: AbortSignal): Promise<LoanAnswer | undefined>
}
