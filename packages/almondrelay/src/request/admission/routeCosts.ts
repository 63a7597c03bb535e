/** Weight of one answer in a route's moving mean: it covers about the last 20 answers. */
const MEAN_WEIGHT = 0.1
/** Weight of one answer in the typical cost over all routes: it covers about the last 200 answers. */
const TYPICAL_WEIGHT = 0.01
/** A route whose mean cost is more than this many times the typical cost is long work. */
const LONG_FACTOR = 8
/** The tail cost is the mean plus this many mean deviations; 99% of exponential times lie below it. */
const TAIL_DEVIATIONS = 5
/** Answers after which the mean of exponential times is within about half of the true mean. */
const MIN_ANSWERS = 5
/** Routes kept; the least recently used is evicted, so that invented paths can't fill the memory. */
const MAX_ROUTES = 1_000

interface RouteCost {
  meanMs: number
  /** Mean absolute deviation. */
  deviationMs: number
  answers: number
}

/**
 * Estimates the cost of a request by route, in milliseconds of one slot, from measured service times.
 *
 * Without a cost by route every request counts the same, and a few long jobs among short ones
 * take every slot. The typical cost is a geometric mean: 5% of jobs that are 50 times longer
 * raise it only by a factor of 1.2. They raise the arithmetic mean by a factor of 3.5, so that
 * they would no longer count as long.
 */
export class RouteCosts {
  private readonly routes = new Map<string, RouteCost>()
  private logTypicalCost: number

  constructor (private readonly initialCostMs: number) {
    this.logTypicalCost = Math.log(initialCostMs)
  }

  /** Expected cost of one request of the route, in milliseconds of one slot. */
  estimate (route: string): number {
    return this.routes.get(route)?.meanMs ?? this.estimateTypical()
  }

  /** Expected cost; undefined until enough answers have been measured to judge other answers by it. */
  find (route: string): number | undefined {
    const cost = this.routes.get(route)
    return cost === undefined || cost.answers < MIN_ANSWERS ? undefined : cost.meanMs
  }

  /** Cost that few requests of the route exceed, in milliseconds of one slot. */
  estimateTail (route: string): number {
    const cost = this.routes.get(route)
    return cost === undefined ? this.estimateTypical() : cost.meanMs + TAIL_DEVIATIONS * cost.deviationMs
  }

  estimateTypical (): number {
    return Math.exp(this.logTypicalCost)
  }

  isLong (route: string): boolean {
    const cost = this.routes.get(route)
    return cost !== undefined && cost.meanMs > LONG_FACTOR * this.estimateTypical()
  }

  recordServiceTime (route: string, serviceTimeMs: number): void {
    const observed = Math.max(serviceTimeMs, 0.01)
    const isFirst = this.routes.size === 0
    const cost = this.routes.get(route) ?? { meanMs: observed, deviationMs: observed / 2, answers: 0 }
    this.routes.delete(route)
    this.routes.set(route, cost)
    cost.answers += 1
    const weight = Math.max(MEAN_WEIGHT, 1 / cost.answers)
    const error = observed - cost.meanMs
    cost.meanMs += weight * error
    cost.deviationMs += weight * (Math.abs(error) - cost.deviationMs)
    this.logTypicalCost = isFirst ? Math.log(observed) : this.logTypicalCost + TYPICAL_WEIGHT * (Math.log(observed) - this.logTypicalCost)
    this.prune()
  }

  private prune (): void {
    if (this.routes.size <= MAX_ROUTES) return
    const oldest = this.routes.keys().next().value
    if (oldest !== undefined) this.routes.delete(oldest)
  }
}
