import { sleepFor } from 'almondrelay'
import type { FleetCodec } from '../fleet/fleetCodec.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import type { PeerView } from '../peers/peerView.js'
import type { RevisionStore } from '../store/revisionStore.js'
import { Quarantine } from './quarantine.js'
import { SuspectExchange } from './suspectExchange.js'
import { SuspectStore } from './suspectStore.js'

interface QuarantineOptions {
  own: HostEntry
  view: PeerView
  socket: PeerSocket
  store: RevisionStore
  codec: FleetCodec
  log: EventLog
  metrics: GatewayMetrics
  /** Monotonic milliseconds. */
  getNow: () => number
  random: () => number
}

/** Creates the quarantine of a host with its exchange with peers and its access to the store, both of which end with the signal. */
export function createQuarantine (options: QuarantineOptions, signal: AbortSignal): { quarantine: Quarantine, exchange: SuspectExchange } {
  const { getNow } = options
  const exchange: SuspectExchange = new SuspectExchange({ ...options, sleep: sleepFor, receiveState: (state, now) => quarantine.receiveState(state, now) }, signal)
  const store = new SuspectStore({ ...options, sleep: sleepFor, adoptRecord: (record, position) => { quarantine.adoptRecord(record, position, getNow()) } }, signal)
  const quarantine: Quarantine = new Quarantine({ ...options, exchange, store })
  return { quarantine, exchange }
}
