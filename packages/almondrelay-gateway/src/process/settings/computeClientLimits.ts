import type { ClientLimits } from 'almondrelay'
import type { GatewaySettings } from './gatewaySettings.js'
import { PortName } from './portName.js'

/** Shares of the process's memory and descriptors that the clients of one port may take. */
interface PortShares {
  memory: number
  descriptors: number
}

/** Each port has shares of its own, so that the clients of one can't shut out those of another. Targets need the remaining descriptors. */
const SHARES: Record<PortName, PortShares> = {
  [PortName.callers]: { memory: 0.1, descriptors: 0.5 },
  [PortName.lookups]: { memory: 0.02, descriptors: 0.15 },
  [PortName.hosts]: { memory: 0.02, descriptors: 0.1 },
  [PortName.readiness]: { memory: 0.01, descriptors: 0.02 },
  [PortName.operators]: { memory: 0.02, descriptors: 0.02 },
  [PortName.metrics]: { memory: 0.01, descriptors: 0.02 }
}
const MB = 1024 * 1024
/** Bytes that callers may hold on a machine of any size: a hundred of them with a request each. */
const MIN_CALLER_BYTES = 8 * MB

/** Computes what the clients of a port may hold together, from the limits of the process. Bodies of callers and other hosts have a bound of their own, and other ports keep none. */
export function computeClientLimits (port: PortName, { memoryMb, maxDescriptors }: GatewaySettings['limits']): ClientLimits {
  const shares = SHARES[port]
  return { maxConnections: Math.floor(maxDescriptors * shares.descriptors), maxHeldBytes: Math.max(memoryMb * MB * shares.memory, port === PortName.callers ? MIN_CALLER_BYTES : 0), includesBodies: port === PortName.operators }
}
