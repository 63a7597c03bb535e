import { createSeededRandom } from 'almondrelay'
import { LimitFleet } from './limitFleet.js'

const DAY_MS = 30_000
const STATED_AT_MS = 3_000
/** Time at which the limit changes on some days. */
const CHANGED_AT_MS = 15_000
const HOSTS = [1, 2, 3, 8, 25, 75]
const LIMITS = [0, 0.4, 1, 3.4, 5.7, 12, 40]
const DEMAND_RATIOS = [0.5, 2, 5]
const LOSSES = [0, 0.1, 0.6]
const MAX_WORK_MS = [50, 400, 3_000]
const DOWN_MS = 2_500

/**
 * Simulates a target that states a limit, with the number of hosts, the limit, its change and the demand chosen by the seed. Reports
 * between hosts are lost, and a third of the hosts are restarted, all at once or one by one.
 *
 * @returns how many more requests than the users bear arrived in the worst window; 0 or less where none did
 */
export function runRandomLimitDay (seed: number): number {
  const random = createSeededRandom(seed)
  const pick = (values: readonly number[]): number => values[Math.floor(random() * values.length)] as number
  const [hosts, limit, changedLimit] = [pick(HOSTS), pick(LIMITS), pick([...LIMITS, Infinity])]
  const isChanging = random() < 0.5
  const downFrom = Array.from({ length: hosts }, (_, index) => index % 3 === 0 ? 6_000 + random() * 12_000 : Infinity)
  const isHerd = random() < 0.3
  const fleet = new LimitFleet({
    hosts,
    demandPerSecond: Math.max(2, limit * pick(DEMAND_RATIOS)),
    loss: pick(LOSSES),
    maxWorkMs: pick(MAX_WORK_MS),
    random,
    limitAt: (now) => now < STATED_AT_MS ? Infinity : isChanging && now >= CHANGED_AT_MS ? changedLimit : limit,
    isDown: (index, now) => {
      const from = isHerd && index % 3 === 0 ? 12_000 : downFrom[index] as number
      return now >= from && now < from + DOWN_MS
    }
  })
  fleet.run(DAY_MS)
  return fleet.findWorstExcess()
}
