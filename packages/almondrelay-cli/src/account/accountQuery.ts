import type { AccountDimension } from 'almondrelay'

/** How a manager wants the account added up. */
export interface AccountQuery {
  /** Dimensions of the result, in order. */
  by: AccountDimension[]
  /** Count only requests whose dimensions have these values. */
  only: Partial<Record<AccountDimension, string>>
}
