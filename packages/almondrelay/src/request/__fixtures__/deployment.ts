interface ServiceSize {
  service: string
  /** Number of targets, and slots of each, as stated by the users. */
  targets: number
  slots: number
  /** Mean service time, in milliseconds; assumed, as the users state none. */
  meanMs: number
}

/** A deployment with its current size as stated by its users. */
export interface Deployment {
  name: string
  zones: number
  /** One-way latency between regions, in milliseconds. */
  regionLatencyMs: number
  services: ServiceSize[]
}
