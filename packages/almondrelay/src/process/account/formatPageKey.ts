const MINUTE_DIGITS = 10

/**
 * The platform key of a page. Minutes have a fixed width, so that keys of one incarnation sort
 * by time.
 */
export function formatPageKey (host: string, incarnation: number, minute: number): string {
  return `account/${host}/${incarnation}/${String(minute).padStart(MINUTE_DIGITS, '0')}`
}
