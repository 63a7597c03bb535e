import type { CallerCodec } from '../connection/callerCodec.js'
import type { TargetCodec } from '../connection/targetCodec.js'
import type { FleetCodec } from './fleet/fleetCodec.js'
import type { LookupCodec } from './lookup/lookupCodec.js'
import type { RevisionStore } from './store/revisionStore.js'

/** The adapter to a platform: its store and the codecs of its keys, headers and messages. */
export interface GatewayAdapter {
  store: RevisionStore
  fleet: FleetCodec
  callers: CallerCodec
  targets: TargetCodec
  lookups: LookupCodec
}
