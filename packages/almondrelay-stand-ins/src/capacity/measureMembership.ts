import type { CapacitySection } from './capacitySection.js'
import { computeLineFit } from './computeLineFit.js'
import { makeMembership } from './makeMembership.js'
import { measureHeap } from './measureHeap.js'
import { measureMs } from './measureMs.js'
import type { Point } from './point.js'
import { targetSize } from './targetSize.js'

const ZONES = [2, 10, 20, 40, 80]
/** What a host does all the time with what it knows of others: a plan and a look at silence with each heartbeat, and as often the question whether it watches. */
const ROUNDS_PER_SECOND = 4
/** The list of hosts is made anew for requests at most this often. */
const LISTS_PER_SECOND = 40

/** Memory and processor time of what a host knows of the others. */
export function measureMembership (): CapacitySection {
  const memory: Point[] = []
  const planning: Point[] = []
  const listing: Point[] = []
  for (const zones of ZONES) {
    const known = zones * targetSize.hostsInZone
    const { made: { membership }, bytes } = measureHeap(() => makeMembership({ hostsInZone: targetSize.hostsInZone, zones, regions: Math.min(zones, targetSize.regions) }, 0, 0))
    memory.push({ x: known, y: bytes })
    let now = 100
    planning.push({
      x: known,
      y: measureMs(() => {
        now += 250
        membership.advance(now)
        membership.planNeighbours(now)
        membership.chooseWatchers('region00-zone00', now)
      })
    })
    listing.push({
      x: known,
      y: measureMs(() => {
        now += 25
        membership.listMembers(now)
      })
    })
  }
  const readLast = (points: readonly Point[]): number => points.at(-1)?.y ?? 0
  const coreShare = (readLast(planning) * ROUNDS_PER_SECOND + readLast(listing) * LISTS_PER_SECOND) / 1_000
  return {
    title: 'Membership: what a host knows of the others',
    slopes: [
      { what: 'memory', xName: 'hosts known', unit: 'bytes', points: memory },
      { what: 'time of a round of plan, silence and watchers', xName: 'hosts known', unit: 'ms', points: planning },
      { what: 'time to list the hosts', xName: 'hosts known', unit: 'ms', points: listing }
    ],
    products: [
      { what: 'memory at 4,800 hosts', value: computeLineFit(memory).slope * targetSize.hosts, unit: 'bytes', limit: targetSize.memoryBytes },
      { what: 'share of a core at 4,800 hosts, with requests', value: coreShare, unit: 'core', limit: targetSize.coreShare },
      { what: 'the same without the lists for requests', value: readLast(planning) * ROUNDS_PER_SECOND / 1_000, unit: 'core', limit: targetSize.coreShare }
    ]
  }
}
