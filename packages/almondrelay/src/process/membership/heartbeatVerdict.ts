/** Whether a host is what it says it is. */
const HeartbeatVerdict = {
  accepted: 'accepted',
  /** A newer incarnation of the same host has spoken. */
  staleIncarnation: 'stale-incarnation',
  /** Another process has this name: the same incarnation at another address, or this host's own name. */
  nameTaken: 'name-taken',
  /** Its address refused connections, so what it held was freed; it must start anew. */
  declaredGone: 'declared-gone'
} as const

type HeartbeatVerdict = (typeof HeartbeatVerdict)[keyof typeof HeartbeatVerdict]

export { HeartbeatVerdict }
