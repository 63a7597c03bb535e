import { z } from 'zod'
import { AccountRow } from './accountRow.js'

const CountedMinute = z.strictObject({ minute: z.number(), rows: z.array(AccountRow) })

const HostGap = z.strictObject({
  host: z.string(),
  incarnation: z.number(),
  /** Minutes between its pages of which there is none. */
  minutes: z.array(z.number()),
  /** Set where its last page is no page of a planned stop: what it counted after this minute, if anything, is not known. */
  silentSince: z.number().optional()
})

/** What all hosts counted in a span of time, and what is known to be missing from it. */
const AccountReport = z.strictObject({
  /** First and last minute since the Unix epoch, both counted. */
  since: z.number(),
  until: z.number(),
  /** Pages of later minutes may still come. */
  settled: z.number(),
  /** Sums over hosts and incarnations, in order of time; minutes without requests are left out. */
  minutes: z.array(CountedMinute),
  /** Pages read. */
  pages: z.number(),
  missing: z.array(HostGap),
  /** Requests counted under the caller `other`, because a page was full. */
  folded: z.number(),
  /** Dropped by hosts during outages of the platform, over their whole life. */
  lost: z.strictObject({ minutes: z.number(), requests: z.number() }),
  /** Keys of pages that could not be read. */
  unreadable: z.array(z.string())
})

type AccountReport = z.infer<typeof AccountReport>

export { AccountReport }
