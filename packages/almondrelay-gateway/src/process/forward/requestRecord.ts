interface AttemptRecord {
  target: string
  region: string
  availabilityZone: string
  /** Rank of the target for the key; 0 is the preferred target. */
  rank: number
  /** Estimated number of outstanding requests at the target, of all hosts. */
  outstanding: number
  expectedMs: number
  /** Requests per second that the target takes from all hosts together; undefined if it has announced no limit. */
  requestLimit: number | undefined
  /**
   * Factor by which the target's work takes longer by its last statement, faded with its age, and that age in milliseconds; undefined
   * where it has stated no speed lately.
   */
  statedSlowness: number | undefined
  statedAgeMs: number | undefined
  /** Whether the attempt was a copy, sent while another one was running so as to be answered on time. */
  isCopy: true | undefined
  /** Host by way of which the request was sent; undefined if it was sent directly. */
  carrier: string | undefined
  /** `answered` with the status, or the reason why there was no answer. */
  result: string
  /** Milliseconds to the result from the send, or from the arrival of the request if it was not sent. */
  ms: number
}

/** How one request was processed, for its log line. */
export interface RequestRecord {
  service: string
  /** Home region of the request's key. */
  homeRegion: string
  /** Era of the store that this host knew. */
  storeEra: number
  /** Milliseconds since the store last confirmed the targets and the configuration that this host knows. */
  storeAgeMs: number | undefined
  /** Milliseconds since the last report of any peer; the load at targets is counted from these reports. */
  peerAgeMs: number | undefined
  attempts: AttemptRecord[]
  /** Why no copy was sent at the latest moment at which it could have been on time; undefined where that moment didn't come. */
  withheldCopy?: string
  /**
   * Fingerprint of the request, the same for all attempts of a caller; undefined unless a target gave no whole answer to the request or
   * the request is quarantined.
   */
  fingerprint?: string
}
