/** Use of an organisation that asks for more than its share. */
export interface OrganisationShare {
  /** Part of its requests that is admitted. */
  fraction: number
  /** Milliseconds of work a second that it asks for. */
  askedMs: number
}
