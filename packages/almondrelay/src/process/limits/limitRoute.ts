/** Where work comes from and where it is to run. */
export interface LimitRoute {
  service: string
  /** Region whose callers ask. */
  fromRegion: string
  /** Region whose targets run it. */
  toRegion: string
}
