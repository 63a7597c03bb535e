import type { TargetCodec } from '../../connection/targetCodec.js'
import type { TargetState } from '../../request/targetState.js'
import type { TargetAnnouncements } from '../announcements/targetAnnouncements.js'
import type { RoundTripTimes } from '../forward/roundTripTimes.js'
import type { TargetPools } from '../forward/targetPools.js'
import type { TargetProber } from '../forward/targetProber.js'
import type { LinkMonitor } from '../links/linkMonitor.js'
import type { Quarantine } from '../quarantine/quarantine.js'

/** Dependencies of the attempts that a host carries for others. */
export interface CarriedParts {
  codec: TargetCodec
  pools: TargetPools
  prober: TargetProber
  roundTripTimes: RoundTripTimes
  announcements: TargetAnnouncements
  links: LinkMonitor
  quarantine: Quarantine
  /** Whether operators' orders keep requests away from the target. */
  isClosed: (target: TargetState) => boolean
  getNow: () => number
}
