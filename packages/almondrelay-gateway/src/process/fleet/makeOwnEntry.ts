import { splitAddress } from 'almondrelay'
import type { GatewaySettings } from '../settings/gatewaySettings.js'
import type { HostEntry } from './hostEntry.js'

/** What this host tells the others of itself, by its settings. */
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
