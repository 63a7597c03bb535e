/** One of the services among which a route spreads its requests. */
export interface Destination {
  service: string
  /** Share of the route's requests, relative to the other destinations' weights. */
  weight: number
}
