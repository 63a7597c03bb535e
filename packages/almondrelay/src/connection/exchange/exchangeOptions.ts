import type { Client } from '@connectrpc/connect'
import type { PeerService } from 'almondrelay-protocol'
import type Logger from 'bunyan'
import type { ConfigurationStore } from '../../process/configuration/configurationStore.js'
import type { LeavingTargets } from '../../process/membership/leavingTargets.js'
import type { Membership } from '../../process/membership/membership.js'
import type { MembershipOptions } from '../../process/membership/membershipOptions.js'
import type { Clock } from '../../process/platform/clock.js'
import type { PeerRefusal } from './peerRefusal.js'

/** Dependencies and settings of the exchange with peers. */
export interface ExchangeOptions extends MembershipOptions {
  membership: Membership
  leavingTargets: LeavingTargets
  store: ConfigurationStore
  clock: Clock
  log: Logger
  /** Creates a client of the peer at an address; the signal closes its connection. */
  createClient: (peerAddress: string, signal: AbortSignal) => Client<typeof PeerService>
  /**
   * Called when a peer refuses a message of this process. After `stale-incarnation` or `declared-gone` the
   * process must stop, as what it held may have been given to another host.
   */
  handleRefusal: (refusal: PeerRefusal, peer: string) => void
}
