import type { Client } from '@connectrpc/connect'
import type { PeerService } from 'almondrelay-protocol'
import type Logger from 'bunyan'
import type { ConfigurationStore } from '../../process/configuration/configurationStore.js'
import type { LeavingTargets } from '../../process/membership/leavingTargets.js'
import type { Membership } from '../../process/membership/membership.js'
import type { MembershipOptions } from '../../process/membership/membershipOptions.js'
import type { Clock } from '../../process/platform/clock.js'
import type { PeerRefusal } from './peerRefusal.js'

/** What the exchange with peers works on. */
export interface ExchangeOptions extends MembershipOptions {
  membership: Membership
  leavingTargets: LeavingTargets
  store: ConfigurationStore
  clock: Clock
  log: Logger
  /** A client of the peer at an address; the signal closes its connection. */
  createClient: (peerAddress: string, signal: AbortSignal) => Client<typeof PeerService>
  /**
   * A peer refuses this process for what it is. After `stale-incarnation` or `declared-gone` the
   * process must stop: what it held may be another's by now.
   */
  handleRefusal: (refusal: PeerRefusal, peer: string) => void
}
