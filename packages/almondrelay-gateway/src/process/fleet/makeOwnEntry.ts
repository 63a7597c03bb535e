import { splitAddress } from 'almondrelay'
import type { GatewaySettings } from '../settings/gatewaySettings.js'
import type { HostEntry } from './hostEntry.js'

/** Builds the entry that this host publishes in the store from its settings. */
export function makeOwnEntry (settings: GatewaySettings, incarnation: string): HostEntry {
  return {
    name: settings.host.name,
    incarnation,
    availabilityZone: settings.host.availabilityZone,
    region: settings.host.region,
    ip: settings.host.ip,
    callerPort: splitAddress(settings.listen.callers).port,
    peerPort: settings.peerPorts[0]
  }
}
