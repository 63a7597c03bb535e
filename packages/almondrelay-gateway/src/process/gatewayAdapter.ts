import type { CallerCodec } from '../connection/callerCodec.js'
import type { TargetCodec } from '../connection/targetCodec.js'
import type { FleetCodec } from './fleet/fleetCodec.js'
import type { LookupCodec } from './lookup/lookupCodec.js'
import type { RevisionStore } from './store/revisionStore.js'

/** Everything that speaks a platform's own words. */
export interface GatewayAdapter {
  store: RevisionStore
  fleet: FleetCodec
  callers: CallerCodec
  targets: TargetCodec
  lookups: LookupCodec
}
