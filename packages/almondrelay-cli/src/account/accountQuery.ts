import type { AccountDimension } from 'almondrelay'

/** How the rows of an account are grouped and filtered. */
export interface AccountQuery {
  /** Dimensions to group by, in the order of the columns. */
  by: AccountDimension[]
  /** Values of dimensions; only requests that have them are counted. */
  only: Partial<Record<AccountDimension, string>>
}
