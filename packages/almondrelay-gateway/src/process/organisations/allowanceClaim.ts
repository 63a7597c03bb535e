import type { OrganisationUse } from '../../request/organisationUse.js'

/** One request's claim on its organisation's allowance. */
export interface AllowanceClaim {
  /** Part of such requests that is let through now. */
  allowedPart: number
  /** Hash of the organisation's name. */
  organisation: number
  /** Where the request is counted; undefined where the organisation had no limit when it came, so that nothing is to be released. */
  use: OrganisationUse | undefined
}
