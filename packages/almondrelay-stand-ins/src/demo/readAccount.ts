import { AccountReader, HttpPlatform } from 'almondrelay'
import type { AccountReport, AccountRow } from 'almondrelay'

const HOUR_MS = 3_600_000

/** The account that the hosts wrote in the last hour, as the platform holds it. */
export async function readAccount (platformAddress: string, signal: AbortSignal): Promise<{ report: AccountReport, rows: AccountRow[] }> {
  const platform = new HttpPlatform({ url: `http://${platformAddress}`, timeoutMs: 5_000 })
  const now = Date.now()
  const report = await new AccountReader(platform).read(now - HOUR_MS, now, now, signal)
  await platform.close()
  return { report, rows: report.minutes.flatMap((minute) => minute.rows) }
}
