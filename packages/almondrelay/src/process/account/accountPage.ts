import { z } from 'zod'
import { AccountRow } from './accountRow.js'

/** What one incarnation of a host counted in one minute; never changed once made. */
const AccountPage = z.strictObject({
  host: z.string(),
  incarnation: z.number().int().min(0),
  /** Minutes since the Unix epoch, by the host's wall clock. */
  minute: z.number().int().min(0),
  rows: z.array(AccountRow),
  /** Requests counted in rows whose caller is `other`, because the page was full. */
  folded: z.number().int().min(0),
  /** What this incarnation has dropped until now, because the platform could not be written for too long. */
  lost: z.strictObject({ minutes: z.number().int().min(0), requests: z.number().int().min(0) }),
  /** The last page of a planned stop. */
  last: z.boolean()
})

type AccountPage = z.infer<typeof AccountPage>

export { AccountPage }
