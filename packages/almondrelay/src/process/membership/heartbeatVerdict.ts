/** Result of the check of a heartbeat sender's identity. */
const HeartbeatVerdict = {
  accepted: 'accepted',
  /** A report of a newer incarnation of the same host was received. */
  staleIncarnation: 'stale-incarnation',
  /** Another process has this name: the same incarnation at another address, or this host's own name. */
  nameTaken: 'name-taken',
  /** Its address refused connections, so what it held was freed; its process must restart. */
  declaredGone: 'declared-gone'
} as const

type HeartbeatVerdict = (typeof HeartbeatVerdict)[keyof typeof HeartbeatVerdict]

export { HeartbeatVerdict }
