import type { AccountReport } from 'almondrelay'

const MAX_LISTED_MINUTES = 10
const MINUTE_MS = 60_000

/** Describes the known gaps of an account, one line for each; no lines if the account is complete. */
export function describeGaps (report: AccountReport): string[] {
  const gaps = report.missing.map((gap) => {
    const listed = gap.minutes.slice(0, MAX_LISTED_MINUTES).map(formatMinute).join(', ')
    const more = gap.minutes.length > MAX_LISTED_MINUTES ? ` and ${gap.minutes.length - MAX_LISTED_MINUTES} more` : ''
    const missingPages = gap.minutes.length === 0 ? [] : [`no page for ${listed}${more}`]
    const noLaterPages = gap.silentSince === undefined ? [] : [`no page after ${formatMinute(gap.silentSince)}, and no planned stop: its later counts are unknown`]
    return `missing: ${gap.host} (incarnation ${gap.incarnation}): ${[...missingPages, ...noLaterPages].join('; ')}`
  })
  const folded = report.folded === 0 ? [] : [`folded: ${report.folded} requests are counted under the caller 'other', because a host's page was full`]
  const lost = report.lost.minutes === 0 ? [] : [`lost: hosts dropped ${report.lost.requests} requests in ${report.lost.minutes} minutes, because the platform could not be written for over an hour`]
  const unreadable = report.unreadable.map((key) => `unreadable: ${key}`)
  const open = report.until <= report.settled ? [] : [`open: pages of minutes after ${formatMinute(report.settled)} may still come`]
  return [...open, ...gaps, ...folded, ...lost, ...unreadable]
}

const formatMinute = (minute: number): string => new Date(minute * MINUTE_MS).toISOString().slice(0, 16) + 'Z'
