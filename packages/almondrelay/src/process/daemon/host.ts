import type Logger from 'bunyan'
import type { ExchangeHub } from '../../connection/exchange/exchangeHub.js'
import type { LenderElection } from '../../connection/limits/lenderElection.js'
import type { LoanTask } from '../../connection/limits/loanTask.js'
import type { RosterTask } from '../../connection/limits/rosterTask.js'
import type { SlotLeaseTask } from '../../connection/limits/slotLeaseTask.js'
import type { OperatorAppOptions } from '../../connection/operator/operatorAppOptions.js'
import type { PeerConnections } from '../../connection/peer/peerConnections.js'
import type { TargetConnections } from '../../connection/target/targetConnections.js'
import type { AccountLedger } from '../account/accountLedger.js'
import type { AccountWriter } from '../account/accountWriter.js'
import type { ChangeLog } from '../configuration/changeLog.js'
import type { ConfigurationStore } from '../configuration/configurationStore.js'
import type { AnswerRecorder } from '../dispatch/answerRecorder.js'
import type { HostCapacity } from '../dispatch/hostCapacity.js'
import type { HostIdentity } from '../dispatch/hostIdentity.js'
import type { PeerRequests } from '../dispatch/peerRequests.js'
import type { RequestHandler } from '../dispatch/requestHandler.js'
import type { Services } from '../dispatch/services.js'
import type { TargetRunner } from '../dispatch/targetRunner.js'
import type { Journal } from '../journal/journal.js'
import type { HostSlots } from '../limits/hostSlots.js'
import type { RegionLender } from '../limits/regionLender.js'
import type { RegionLimits } from '../limits/regionLimits.js'
import type { LookupAnswerer } from '../lookup/lookupAnswerer.js'
import type { LeavingTargets } from '../membership/leavingTargets.js'
import type { Membership } from '../membership/membership.js'
import type { Clock } from '../platform/clock.js'
import type { Platform } from '../platform/platform.js'
import type { Random } from '../../request/random.js'
import type { HostSettings } from '../settings/hostSettings.js'
import type { Metrics } from './metrics.js'

/** The objects of a running host; they exist for the lifetime of the process. */
export interface Host {
  settings: HostSettings
  identity: HostIdentity
  log: Logger
  clock: Clock
  random: Random
  platform: Platform
  store: ConfigurationStore
  changeLog: ChangeLog
  membership: Membership
  /** Whether this host is one of the two of its zone that watch the platform. */
  isWatcher: () => boolean
  leavingTargets: LeavingTargets
  hub: ExchangeHub
  slots: HostSlots
  limits: RegionLimits
  lender: RegionLender
  /** Combines slots and limits. */
  capacity: HostCapacity
  services: Services
  rosterTask: RosterTask
  slotLeases: SlotLeaseTask
  lenderElection: LenderElection
  loans: LoanTask
  journal: Journal
  runner: TargetRunner
  handler: RequestHandler
  peerRequests: PeerRequests
  lookups: LookupAnswerer
  answers: AnswerRecorder
  ledger: AccountLedger
  accountWriter: AccountWriter
  metrics: Metrics
  peers: PeerConnections
  targets: TargetConnections
  operatorOptions: OperatorAppOptions
}
