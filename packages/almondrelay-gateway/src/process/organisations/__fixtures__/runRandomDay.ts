import { createSeededRandom } from 'almondrelay'
import { AllowanceFleet } from './allowanceFleet.js'

const WINDOW_MS = 5_000
const DAY_MS = 18_000
const RATES = [6, 15, 60, 282]
const ZONES = [2, 6, 9]
const HOSTS_PER_ZONE = [1, 4, 12]
/** Usual request rate of an organisation, as a share of its rate limit. */
const USUAL_SHARE = 0.625
/** Excess over the limit that the operators accept: a tenth of the limit, and twenty requests. */
const OVERAGE = 0.1
const SLACK_REQUESTS = 20

interface RandomDay {
  /** Largest number of requests that ran within any window, and the largest number that the operators accept. */
  most: number
  bound: number
}

/**
 * Simulates one organisation whose traffic surges to up to 4.7 times its limit, through all hosts or a tenth of them, with faults
 * chosen by the seed: hosts are isolated one by one, in two groups or by region; some or all hosts are killed and restarted; datagrams
 * are lost or arrive twice.
 */
export function runRandomDay (seed: number): RandomDay {
  const random = createSeededRandom(seed)
  const pick = (values: readonly number[]): number => values[Math.floor(random() * values.length)] as number
  const [rate, zones, hostsPerZone] = [pick(RATES), pick(ZONES), pick(HOSTS_PER_ZONE)]
  const hosts = zones * hostsPerZone
  const [surge, surgeAt] = [1 + random() * 3.7, 2_000 + random() * 8_000]
  const surgeHosts = random() < 0.3 ? Math.max(1, Math.floor(hosts * 0.1)) : hosts
  const [partitionAt, partitionMs] = [1_000 + random() * 12_000, 2_000 + random() * 10_000]
  const partitionedShare = random() < 0.6 ? random() * 0.6 : 0
  const partitionKind = Math.floor(random() * 3)
  const killAt = 2_000 + random() * 12_000
  const killedShare = random() < 0.5 ? (random() < 0.5 ? 1 : random()) : 0
  const downMs = 500 + random() * 1_500
  const loss = random() < 0.3 ? random() * 0.2 : 0
  const isPartitioned = Array.from({ length: hosts }, () => random() < partitionedShare)
  const isKilled = Array.from({ length: hosts }, () => random() < killedShare)
  const burst = random() < 0.2 ? 0 : rate
  const findRegion = (index: number): number => Math.floor(index / hostsPerZone / 2)
  const isBlocked = (from: number, to: number): boolean => [isPartitioned[from] === true || isPartitioned[to] === true, isPartitioned[from] !== isPartitioned[to], findRegion(from) !== findRegion(to)][partitionKind] === true
  const fleet = new AllowanceFleet({
    zones,
    hostsPerZone,
    windowMs: WINDOW_MS,
    ratePerSecond: rate,
    burst,
    random,
    loss,
    ask: ({ index }, now) => rate * USUAL_SHARE / hosts + (now > surgeAt && now < surgeAt + 8_000 && index < surgeHosts ? rate * (surge - USUAL_SHARE) / surgeHosts : 0),
    isLinked: (from, to, now) => now <= partitionAt || now >= partitionAt + partitionMs || !isBlocked(from, to),
    isDown: (index, now) => isKilled[index] === true && now > killAt && now < killAt + downMs + index * 5
  })
  fleet.run(DAY_MS)
  return { most: fleet.findMaxInWindow(), bound: (rate * WINDOW_MS / 1_000 + burst) * (1 + OVERAGE) + SLACK_REQUESTS }
}
