interface ServiceSize {
  service: string
  /** Targets and slots each, as the users state them. */
  targets: number
  slots: number
  /** Mean service time, in milliseconds: an assumption, the users state none. */
  meanMs: number
}

/** One deployment as its users state its size today. */
export interface Deployment {
  name: string
  zones: number
  /** One way between regions, in milliseconds. */
  regionLatencyMs: number
  services: ServiceSize[]
}
