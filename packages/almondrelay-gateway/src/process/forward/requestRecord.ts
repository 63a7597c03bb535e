interface AttemptRecord {
  target: string
  region: string
  availabilityZone: string
  /** Place of the target in the order of the key. */
  rank: number
  /** Requests that were taken to be at the target. */
  outstanding: number
  expectedMs: number
  /** `answered` with the status, or why there was no answer. */
  result: string
  /** Milliseconds from the choice to the result. */
  ms: number
}

/** What one request went through, for its log line. */
export interface RequestRecord {
  service: string
  /** Region in which its key has its place. */
  homeRegion: string
  /** Milliseconds since the store last confirmed what this host knows of targets and configuration. */
  storeAgeMs: number | undefined
  /** Milliseconds since the last report of any peer, from which load at targets is counted. */
  peerAgeMs: number | undefined
  attempts: AttemptRecord[]
  /** What was asked, the same for all attempts of a caller; undefined where every target that it was sent to gave a whole answer and it isn't quarantined. */
  fingerprint?: string
}
