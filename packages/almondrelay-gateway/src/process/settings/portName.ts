/** Names of the HTTP ports of a host in log lines and metrics. */
const PortName = {
  callers: 'callers',
  readiness: 'readiness',
  lookups: 'lookups',
  hosts: 'hosts',
  operators: 'operators',
  metrics: 'metrics'
} as const

type PortName = (typeof PortName)[keyof typeof PortName]

export { PortName }
