/** What the decision about a request at an overloaded service depends on besides the snapshot of the service. */
export interface ShareInput {
  /** Hash of the organisation's name; 0 without one. */
  organisation: number
  organisationPriority: number
  /** Hash of the route's name. */
  route: number
  routePriority: number
}
