/** Reason for which a host refused a peer's message; sent in the error's metadata. */
const PeerRefusal = {
  protocolVersion: 'protocol-version',
  malformed: 'malformed',
  staleIncarnation: 'stale-incarnation',
  nameTaken: 'name-taken',
  declaredGone: 'declared-gone',
  notReady: 'not-ready'
} as const

type PeerRefusal = (typeof PeerRefusal)[keyof typeof PeerRefusal]

export { PeerRefusal }
