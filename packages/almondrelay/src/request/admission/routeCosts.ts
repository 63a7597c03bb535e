/** Weight of one answer in a route's mean: the last 20 or so answers decide. */
const MEAN_WEIGHT = 0.1
/** Weight of one answer in the typical cost, over all routes: the last 200 or so decide. */
const TYPICAL_WEIGHT = 0.01
/** A route whose mean is this many times the typical cost is long work. */
const LONG_FACTOR = 8
/** Routes kept; the least recently used is forgotten, so that made-up paths can't fill the memory. */
const MAX_ROUTES = 1_000

/**
 * Learns what a request costs, in milliseconds of one slot, by route.
 *
 * Answers long jobs among short ones: without a cost by route every request counts the
 * same, and a few long jobs take every slot. The typical cost is a geometric mean: 5% of
 * jobs that are 50 times longer raise it by a factor of 1.2 only, whereas they raise the
 * arithmetic mean by 3.5 and would so hide themselves.
 */
export class RouteCosts {
  private readonly means = new Map<string, number>()
  private typicalLog: number

  constructor (private readonly initialCostMs: number) {
    this.typicalLog = Math.log(initialCostMs)
  }

  /** Expected cost of one request of the route, in milliseconds of one slot. */
  estimate (route: string): number {
    return this.means.get(route) ?? this.estimateTypical()
  }

  estimateTypical (): number {
    return Math.exp(this.typicalLog)
  }

  isLong (route: string): boolean {
    const mean = this.means.get(route)
    return mean !== undefined && mean > LONG_FACTOR * this.estimateTypical()
  }

  learn (route: string, serviceTimeMs: number): void {
    const observed = Math.max(serviceTimeMs, 0.01)
    const isFirst = this.means.size === 0
    const mean = this.means.get(route)
    this.means.delete(route)
    this.means.set(route, mean === undefined ? observed : mean + MEAN_WEIGHT * (observed - mean))
    this.typicalLog = isFirst ? Math.log(observed) : this.typicalLog + TYPICAL_WEIGHT * (Math.log(observed) - this.typicalLog)
    this.prune()
  }

  private prune (): void {
    if (this.means.size <= MAX_ROUTES) return
    const oldest = this.means.keys().next().value
    if (oldest !== undefined) this.means.delete(oldest)
  }
}
