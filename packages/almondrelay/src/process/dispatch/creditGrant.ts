import type { RefusalReason } from '../../request/refusalReason.js'
import type { Credit } from '../limits/credit.js'

/** Credits granted, and which limit kept the rest back where one did. */
export interface CreditGrant {
  credits: Credit[]
  reason?: RefusalReason
}
