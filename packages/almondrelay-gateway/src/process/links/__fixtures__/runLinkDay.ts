import { createSeededRandom } from 'almondrelay'
import { LinkFleet } from './linkFleet.js'

const ZONES = 3
const RUN_MS = 32_000
/** Milliseconds at the end of a day without any fault. */
const CALM_MS = 8_000
/** Milliseconds after the beginning of a cut from which on callers of its hosts must be served like others. */
const SETTLE_MS = 1_000
const MIN_RELATIVE_SHARE = 0.95
/** Milliseconds within which some host must report the exit of a target that stays away. */
const MAX_EXIT_DETECTION_MS = 1_500
/** Milliseconds for which a request may last. */
const MAX_DURATION_MS = 4_000
/** Maximum share of requests that go by way of another host before the first fault. */
const MAX_CALM_DETOURS = 0.002

interface Day {
  fleet: LinkFleet
  firstFaultAt: number
}

const listNumbers = (count: number): number[] => Array.from({ length: count }, (_, index) => index)

/** Builds a day with cuts of one host, some hosts, a zone or half of the hosts, from all targets, one zone's or some, beside crashes of targets. */
const buildDay = (seed: number): Day => {
  const random = createSeededRandom(seed)
  const fleet = new LinkFleet({ zones: ZONES, hostsPerZone: 3, targetsPerZone: 4, requestsPerSecond: random() < 0.5 ? 17 : 40, random })
  const pickSome = (count: number, share: number): Set<number> => new Set(listNumbers(count).filter(() => random() < share))
  const pickZone = (count: number): Set<number> => {
    const zone = Math.floor(random() * ZONES)
    return new Set(listNumbers(count).filter((index) => Math.floor(index / (count / ZONES)) === zone))
  }
  const hosts = fleet.hosts.length
  const pickHosts = [() => new Set([Math.floor(random() * hosts)]), () => pickSome(hosts, 0.5), () => pickZone(hosts)]
  const pickTargets = [() => new Set(listNumbers(fleet.targetCount)), () => pickZone(fleet.targetCount), () => pickSome(fleet.targetCount, 0.4)]
  let from = 6_000
  while (from < RUN_MS - CALM_MS - 6_000) {
    const to = from + 1_500 + random() * 5_000
    const path = random() < 0.5 ? 'hang' as const : 'refuse' as const
    fleet.cuts.push({ from, to, path, hosts: pickHosts[Math.floor(random() * 3)]?.() ?? new Set(), targets: pickTargets[Math.floor(random() * 3)]?.() ?? new Set() })
    from = to + (random() < 0.3 ? 500 : 3_000 + random() * 3_000)
  }
  const crashes = Math.floor(random() * 4)
  for (let count = 0; count < crashes; count += 1) {
    const crashAt = 6_000 + random() * (RUN_MS - CALM_MS - 10_000)
    fleet.crashes.push({ from: crashAt, to: crashAt + 3_000, path: random() < 0.6 ? 'refuse' : 'hang', target: Math.floor(random() * fleet.targetCount) })
  }
  return { fleet, firstFaultAt: 6_000 }
}

const listUnserved = ({ cuts, computeServedShare }: LinkFleet, fleet: LinkFleet): string[] => cuts.flatMap(({ from, to, hosts, targets, path }) => {
  const cutOff = computeServedShare.call(fleet, (host) => hosts.has(host), from + SETTLE_MS, to - SETTLE_MS / 4)
  const others = computeServedShare.call(fleet, (host) => !hosts.has(host), from + SETTLE_MS, to - SETTLE_MS / 4)
  return cutOff < others * MIN_RELATIVE_SHARE ? [`${path} of ${hosts.size} hosts from ${targets.size} targets at ${Math.round(from)}: ${cutOff.toFixed(3)} served, others ${others.toFixed(3)}`] : []
})

/** Returns the crashes, with connections refused, that no host reported in time although hosts outside all cuts sent to the target. */
const listMissedExits = (fleet: LinkFleet): number[] => fleet.crashes
  .filter(({ path, from, to, target }) => path === 'refuse' && !fleet.cuts.some((cut) => cut.from < to && cut.to > from) &&
    !fleet.crashes.some((other) => other.target === target && other.from < from && other.to > from) &&
    !fleet.exits.some((exit) => exit.target === target && exit.at >= from && exit.at <= from + MAX_EXIT_DETECTION_MS))
  .map(({ target }) => target)

interface DayResult {
  /** Cuts in which callers of its hosts were served too seldom. */
  unserved: string[]
  falseExits: LinkFleet['exits']
  /** Targets whose exits no host reported. */
  missedExits: number[]
  /** Hosts that count links as lost at the end of the day. */
  hostsWithLostLinks: number[]
  /** Whether hardly any request went by way of another host before the first fault. */
  isCalmDirect: boolean
}

/** Runs a random day of nine hosts that lose their links to targets. */
export async function runLinkDay (seed: number): Promise<DayResult> {
  const { fleet, firstFaultAt } = buildDay(seed)
  await fleet.run(RUN_MS)
  const calm = fleet.requests.filter(({ sentAt }) => sentAt < firstFaultAt - MAX_DURATION_MS)
  return {
    unserved: listUnserved(fleet, fleet),
    falseExits: fleet.listFalseExits(),
    missedExits: listMissedExits(fleet),
    hostsWithLostLinks: fleet.listHostsWithLostLinks(),
    isCalmDirect: calm.filter(({ wasCarried }) => wasCarried).length <= calm.length * MAX_CALM_DETOURS
  }
}
