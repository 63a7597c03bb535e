/** Caller in the rows that count the requests for which a full page had no row. */
export const OTHER_CALLER = 'other'
