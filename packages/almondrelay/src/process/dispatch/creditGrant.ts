import type { RefusalReason } from '../../request/refusalReason.js'
import type { Credit } from '../limits/credit.js'

/** Granted credits and, if fewer than wanted were granted because of a limit, that limit. */
export interface CreditGrant {
  credits: Credit[]
  reason?: RefusalReason
}
