/** Callers of one organisation on one route of the model. */
export interface ModelClass {
  organisation: number
  organisationPriority: number
  route: number
  routePriority: number
  /** Requests a second, as a part of the capacity. */
  load: number
}
