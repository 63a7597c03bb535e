import type { OrganisationUsage } from '../../request/organisationUsage.js'

/** The claim of one request on its organisation's allowance. */
export interface AllowanceClaim {
  /** Share of the organisation's requests that this host admits at present. */
  allowedPart: number
  /** Hash of the organisation's name. */
  organisation: number
  /**
   * Counter to which the request was added; undefined if the organisation had no limit when it arrived, so there is nothing to release.
   */
  use: OrganisationUsage | undefined
}
