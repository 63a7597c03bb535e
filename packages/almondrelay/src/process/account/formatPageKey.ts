const MINUTE_DIGITS = 10

/**
 * Formats the platform key of a page. Minutes have a fixed width, so that the keys of one incarnation sort
 * chronologically.
 */
export function formatPageKey (host: string, incarnation: number, minute: number): string {
  return `account/${host}/${incarnation}/${String(minute).padStart(MINUTE_DIGITS, '0')}`
}
