/** Limits of the account data that a host keeps in memory. */
export const accountLimits = {
  /** Distinct rows per minute; further requests are counted in rows whose caller is `other`. */
  maxRows: 2_000,
  /** Bytes of a page's rows; keeps the page below the platform's limit of one megabyte per value. */
  maxPageBytes: 900_000,
  /** Pages kept while writes to the platform fail: those of one hour. The oldest page is dropped first. */
  maxPages: 60
}
