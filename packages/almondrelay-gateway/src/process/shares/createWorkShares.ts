import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { EventLog } from '../observe/eventLog.js'
import type { ShareMetrics } from '../observe/shareMetrics.js'
import type { PeerView } from '../peers/peerView.js'
import type { AgedSnapshot } from './agedSnapshot.js'
import { WorkShares } from './workShares.js'

interface WorkSharesParts {
  own: HostEntry
  view: PeerView
  fleet: FleetState
  log: EventLog
  shareMetrics: ShareMetrics
  getNow: () => number
}

/** Creates the fair shares of a host, with log lines at the begin and end of overload and metrics of the shares. */
export function createWorkShares ({ own, view, fleet, log, shareMetrics, getNow }: WorkSharesParts): WorkShares {
  const { availabilityZone, region } = own
  const listUses = ({ snapshot }: AgedSnapshot): Array<{ organisation: string, shareMs: number, askedMs: number }> => [...snapshot.organisations].flatMap(([hash, { askedMs }]) => {
    const organisation = fleet.organisations.nameHashes.findName(hash)
    return organisation === undefined ? [] : [{ organisation, shareMs: snapshot.shareMs, askedMs }]
  })
  const handleSnapshot = (service: string, aged: AgedSnapshot | undefined, hasBegun: boolean): void => {
    if (aged === undefined) log.report('service no longer overloaded', { service, region })
    else if (hasBegun) log.report('service overloaded, shares are held', describeSnapshot(service, region, aged))
    shareMetrics.setShares(service, aged === undefined ? undefined : listUses(aged), aged?.ageMs ?? 0)
  }
  return new WorkShares({
    availabilityZone,
    region,
    startedAt: getNow(),
    isAggregator: (now) => view.isAggregator(now),
    isFirstAggregator: (now) => view.listAggregators(availabilityZone, now)[0]?.name === own.name,
    handleSnapshot
  })
}

const describeSnapshot = (service: string, region: string, { snapshot, ageMs }: AgedSnapshot): object => ({
  service,
  region,
  capacityMs: Math.round(snapshot.capacityMs),
  shareMs: snapshot.shareMs === Infinity ? undefined : Math.round(snapshot.shareMs),
  beyondShare: snapshot.organisations.size,
  lastRank: snapshot.marginPriority === Infinity ? undefined : snapshot.marginPriority,
  ageMs: Math.round(ageMs)
})
