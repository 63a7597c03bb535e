/** The region that work comes from, the region where it is to run, and its service. */
export interface LimitRoute {
  service: string
  /** Region of the callers that send the requests. */
  fromRegion: string
  /** Region of the targets that run the requests. */
  toRegion: string
}
