/** Statuses of answers that have no body, whatever length they state (RFC 9112, section 6.3). */
export const BODILESS_STATUSES: readonly number[] = [204, 304]
