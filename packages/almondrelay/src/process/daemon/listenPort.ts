/** Ports of the daemon, as the settings name them. */
const ListenPort = {
  caller: 'caller',
  peer: 'peer',
  operator: 'operator'
} as const

type ListenPort = (typeof ListenPort)[keyof typeof ListenPort]

export { ListenPort }
