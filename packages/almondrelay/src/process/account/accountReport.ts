import { z } from 'zod'
import { AccountRow } from './accountRow.js'

const CountedMinute = z.strictObject({ minute: z.number(), rows: z.array(AccountRow) })

const HostGap = z.strictObject({
  host: z.string(),
  incarnation: z.number(),
  /** Minutes between the first and the last page of this incarnation that have no page. */
  minutes: z.array(z.number()),
  /** Set when the last page was not written by a planned stop: requests counted after this minute, if any, are unknown. */
  silentSince: z.number().optional()
})

/** The request counts of all hosts in a time range, and the data known to be missing. */
const AccountReport = z.strictObject({
  /** First and last minute of the range since the Unix epoch, both inclusive. */
  since: z.number(),
  until: z.number(),
  /** Last minute whose pages are expected to be written; pages of later minutes may still arrive. */
  settled: z.number(),
  /** Sums over hosts and incarnations, in chronological order; minutes without requests are omitted. */
  minutes: z.array(CountedMinute),
  /** Number of pages read. */
  pages: z.number(),
  missing: z.array(HostGap),
  /** Requests counted under the caller `other`, because a page was full. */
  folded: z.number(),
  /** Totals dropped by hosts during platform outages, over the whole lifetime of each incarnation. */
  lost: z.strictObject({ minutes: z.number(), requests: z.number() }),
  /** Keys of pages that could not be read. */
  unreadable: z.array(z.string())
})

type AccountReport = z.infer<typeof AccountReport>

export { AccountReport }
