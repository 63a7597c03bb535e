import type { LoanAnswer } from '../../process/limits/loanAnswer.js'
import type { LoanRequest } from '../../process/limits/loanRequest.js'
import type { LenderKind } from './lenderKind.js'

/** Calls to peers for loans, addressed by host name. */
export abstract class LoanPeers {
  /** Returns undefined if there was no answer, or if the host isn't a lender of the requested kind. */
  abstract tryBorrowCapacity (host: string, lender: LenderKind, request: LoanRequest, signal: AbortSignal): Promise<LoanAnswer | undefined>
}
