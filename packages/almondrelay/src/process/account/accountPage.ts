import { z } from 'zod'
import { AccountRow } from './accountRow.js'

/** The request counts of one incarnation of a host for one minute; immutable once created. */
const AccountPage = z.strictObject({
  host: z.string(),
  incarnation: z.number().int().min(0),
  /** Minutes since the Unix epoch, by the host's wall clock. */
  minute: z.number().int().min(0),
  rows: z.array(AccountRow),
  /** Requests counted in rows whose caller is `other`, because the page was full. */
  folded: z.number().int().min(0),
  /** Totals that this incarnation has dropped so far because writes to the platform failed for too long. */
  lost: z.strictObject({ minutes: z.number().int().min(0), requests: z.number().int().min(0) }),
  /** True for the final page written during a planned stop. */
  last: z.boolean()
})

type AccountPage = z.infer<typeof AccountPage>

export { AccountPage }
