/** Bounds of the account that a host holds in memory. */
export const accountLimits = {
  /** Distinct rows of a minute; requests beyond are counted in rows whose caller is `other`. */
  maxRows: 2_000,
  /** Bytes of a page's rows, so that it stays under the platform's limit of a megabyte for a value. */
  maxPageBytes: 900_000,
  /** Pages kept while the platform can't be written: an hour. The oldest goes first. */
  maxPages: 60
}
