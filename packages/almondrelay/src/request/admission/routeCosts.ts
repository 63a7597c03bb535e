/** Weight of one answer in a route's mean: the last 20 or so answers decide. */
const MEAN_WEIGHT = 0.1
/** Weight of one answer in the typical cost, over all routes: the last 200 or so decide. */
const TYPICAL_WEIGHT = 0.01
/** A route whose mean is this many times the typical cost is long work. */
const LONG_FACTOR = 8
/** Mean deviations above the mean that count as the tail; of exponential times 99% lie below. */
const TAIL_DEVIATIONS = 5
/** Answers after which a mean of exponential times is within about half of the true one. */
const MIN_ANSWERS = 5
/** Routes kept; the least recently used is forgotten, so that made-up paths can't fill the memory. */
const MAX_ROUTES = 1_000

interface RouteCost {
  meanMs: number
  /** Mean absolute deviation. */
  deviationMs: number
  answers: number
}

/**
 * Learns what a request costs, in milliseconds of one slot, by route.
 *
 * Answers long jobs among short ones: without a cost by route every request counts the
 * same, and a few long jobs take every slot. The typical cost is a geometric mean: 5% of
 * jobs that are 50 times longer raise it by a factor of 1.2 only, whereas they raise the
 * arithmetic mean by 3.5 and would so hide themselves.
 */
export class RouteCosts {
  private readonly routes = new Map<string, RouteCost>()
  private typicalLog: number

  constructor (private readonly initialCostMs: number) {
    this.typicalLog = Math.log(initialCostMs)
  }

  /** Expected cost of one request of the route, in milliseconds of one slot. */
  estimate (route: string): number {
    return this.routes.get(route)?.meanMs ?? this.estimateTypical()
  }

  /** Expected cost; undefined until enough answers came for others to be judged by it. */
  find (route: string): number | undefined {
    const cost = this.routes.get(route)
    return cost === undefined || cost.answers < MIN_ANSWERS ? undefined : cost.meanMs
  }

  /** Cost that few requests of the route pass, in milliseconds of one slot. */
  estimateTail (route: string): number {
    const cost = this.routes.get(route)
    return cost === undefined ? this.estimateTypical() : cost.meanMs + TAIL_DEVIATIONS * cost.deviationMs
  }

  estimateTypical (): number {
    return Math.exp(this.typicalLog)
  }

  isLong (route: string): boolean {
    const cost = this.routes.get(route)
    return cost !== undefined && cost.meanMs > LONG_FACTOR * this.estimateTypical()
  }

  learn (route: string, serviceTimeMs: number): void {
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
    this.typicalLog = isFirst ? Math.log(observed) : this.typicalLog + TYPICAL_WEIGHT * (Math.log(observed) - this.typicalLog)
    this.prune()
  }

  private prune (): void {
    if (this.routes.size <= MAX_ROUTES) return
    const oldest = this.routes.keys().next().value
    if (oldest !== undefined) this.routes.delete(oldest)
  }
}
