import type Logger from 'bunyan'
import { LenderElection } from '../../connection/limits/lenderElection.js'
import { RemoteLimitPeers } from '../../connection/limits/remoteLimitPeers.js'
import { LoanTask } from '../../connection/limits/loanTask.js'
import { RosterTask } from '../../connection/limits/rosterTask.js'
import { SlotLeaseTask } from '../../connection/limits/slotLeaseTask.js'
import type { Random } from '../../request/random.js'
import { HostCapacity } from '../dispatch/hostCapacity.js'
import type { HostDirectory } from '../dispatch/hostDirectory.js'
import type { HostIdentity } from '../dispatch/hostIdentity.js'
import { makeSender } from '../dispatch/makeSender.js'
import type { PeerLinks } from '../dispatch/peerLinks.js'
import { defaultLimitsOptions } from '../limits/defaultLimitsOptions.js'
import { HostSlots } from '../limits/hostSlots.js'
import { RegionLender } from '../limits/regionLender.js'
import { RegionLimits } from '../limits/regionLimits.js'
import type { Clock } from '../platform/clock.js'
import type { Platform } from '../platform/platform.js'
import type { Host } from './host.js'

interface LimitsOptions {
  identity: HostIdentity
  platform: Platform
  clock: Clock
  random: Random
  log: Logger
  directory: HostDirectory
  links: PeerLinks
  isWatcher: () => boolean
}

type Limits = Pick<Host, 'slots' | 'limits' | 'lender' | 'capacity' | 'rosterTask' | 'slotLeases' | 'lenderElection' | 'loans'>

/**
 * Creates the objects that enforce the limits of targets, regions, links and shifts on this host, and the tasks that
 * coordinate these limits with peers.
 */
export function buildLimits (base: LimitsOptions): Limits {
  const { identity, platform, clock, random, log, directory, links, isWatcher } = base
  const self = { name: identity.host, incarnation: identity.incarnation }
  const slots = new HostSlots(identity)
  const limits = new RegionLimits(identity, slots.claims)
  const lender = new RegionLender(self)
  const peers = new RemoteLimitPeers({ links, directory, sender: makeSender(identity) })
  const lenderElection = new LenderElection({ platform, lender, self, region: identity.region, isWatcher, drift: defaultLimitsOptions.drift, clock, random, log })
  const loans = new LoanTask({ limits, peers, clock, findRegionLender: () => lenderElection.find() })
  return {
    slots,
    limits,
    lender,
    lenderElection,
    capacity: new HostCapacity({ region: identity.region, slots, limits, wakeLoans: () => { loans.wake() } }),
    rosterTask: new RosterTask({ platform, slots, self, availabilityZone: identity.availabilityZone, isWatcher, clock, random, log }),
    slotLeases: new SlotLeaseTask({ slots, clock, peers }),
    loans
  }
}
