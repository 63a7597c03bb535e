interface Self {
  host: string
  incarnation: number
  availabilityZone: string
  region: string
  callerAddress: string
  peerAddress: string
}

/** Identity of this host and the time limits for suspecting a silent peer. */
export interface MembershipOptions {
  self: Self
  heartbeatMs: number
  /** Time without a report after which a peer gets no new work. */
  suspectAfterMs: number
}
