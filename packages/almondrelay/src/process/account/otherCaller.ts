/** Caller of the rows that count what found no row of its own in a full page. */
export const OTHER_CALLER = 'other'
