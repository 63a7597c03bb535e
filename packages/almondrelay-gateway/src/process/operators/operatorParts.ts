import type Logger from 'bunyan'
import type { Clock, KeyValueStore } from 'almondrelay'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { ForwardState } from '../forward/forwardState.js'
import type { Quarantine } from '../quarantine/quarantine.js'
import type { PeerView } from '../peers/peerView.js'

/** Dependencies of the operators' API on a host. */
export interface OperatorParts {
  own: HostEntry
  availabilityZones: Readonly<Record<string, string>>
  fleet: FleetState
  view: PeerView
  forward: ForwardState
  quarantine: Quarantine
  /** Key-value store limited to the product's own keys. */
  values: KeyValueStore
  clock: Clock
  logger: Logger
  random: () => number
  isLeaving: () => boolean
}
