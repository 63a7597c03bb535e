interface Self {
  host: string
  incarnation: number
  availabilityZone: string
  region: string
  callerAddress: string
  peerAddress: string
}

/** Who this host is and how it judges silence. */
export interface MembershipOptions {
  self: Self
  heartbeatMs: number
  /** Silence after which a peer gets no new work. */
  suspectAfterMs: number
}
