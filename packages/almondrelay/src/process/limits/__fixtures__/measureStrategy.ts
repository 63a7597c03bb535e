import { createSeededRandom } from '../../../request/createSeededRandom.js'
import type { LimitStrategy } from './limitStrategy.js'

interface StrategySetting {
  targets: readonly string[]
  slots: number
  hosts: number
  /** Offered work as a fraction of all slots. */
  load: number
  /** Fraction of the work that arrives at the first host; the rest is spread evenly. */
  hotPart: number
  seed: number
  /** Length of the run in milliseconds. */
  runMs: number
}

interface StrategyFigures {
  /** Mean number of running requests, as a fraction of all slots. */
  utilisation: number
  /** Maximum number of requests that one target ran, as a fraction of its slots. */
  worst: number
  /** Fraction of the time that targets spent above their slots. */
  timeAbove: number
}

const STEP_MS = 2
const SERVICE_MS = 50

/** Offers seeded work with memoryless service times to a strategy and counts the requests that actually run on the targets. */
export function measureStrategy (strategy: LimitStrategy, setting: StrategySetting): StrategyFigures {
  const { targets, slots, hosts, load, hotPart, seed, runMs } = setting
  const random = createSeededRandom(seed)
  const running = new Map(targets.map((target) => [target, 0]))
  let work: Array<{ host: number, holder: string, target: string, endsAt: number }> = []
  const perStep = load * targets.length * slots * STEP_MS / SERVICE_MS
  let count = 0
  let used = 0
  let above = 0
  let worst = 0
  for (let now = 0; now < runMs; now += STEP_MS) {
    for (const each of work.filter(({ endsAt }) => endsAt <= now)) {
      running.set(each.target, running.get(each.target)! - 1)
      strategy.release(each.host, each.holder, each.target, now)
    }
    work = work.filter(({ endsAt }) => endsAt > now)
    strategy.advance(now, running)
    for (let arrivals = perStep + random(); arrivals >= 1; arrivals -= 1) {
      const host = hosts === 1 || random() < hotPart ? 0 : 1 + Math.floor(random() * (hosts - 1))
      const holder = `r${count++}`
      const target = strategy.tryStart(host, holder, now)
      if (target === undefined) continue
      running.set(target, running.get(target)! + 1)
      work.push({ host, holder, target, endsAt: now - Math.log(1 - random()) * SERVICE_MS })
    }
    for (const value of running.values()) {
      used += value
      above += value > slots ? 1 : 0
      worst = Math.max(worst, value / slots)
    }
  }
  const steps = runMs / STEP_MS
  return { utilisation: used / (steps * targets.length * slots), worst, timeAbove: above / (steps * targets.length) }
}
