import { putBounded } from './putBounded.js'
import type { TargetEntry } from './targetEntry.js'

const BYTES_PER_MEGABYTE = 1_000_000
/** Weight of one answer in the mean size of a route's answers: about the last ten count. */
const SIZE_GAIN = 0.1
/** Routes whose sizes are remembered; the one that was used longest ago is forgotten first. */
const MOST_ROUTES = 4_096
/**
 * Milliseconds that the bytes of one answer must be taken to cost between availability zones for each zone to keep objects
 * of its own. A second place of an object costs each zone one work on it anew, some 200 ms; at 10 ms an answer that is
 * paid after twenty answers, a few seconds of a route's traffic.
 */
const LOCAL_FROM_MS = 10

interface TransferPrices {
  /** Milliseconds of answer time that a megabyte between two availability zones of a region is taken to be worth. */
  availabilityZoneMsPerMegabyte: number
  /** The same between two regions. */
  regionMsPerMegabyte: number
}

/**
 * What the bytes of answers cost on their way from a target to this host, in milliseconds of answer time.
 *
 * Answers large answers that cross availability zones for no reason: with one place for each object in a region, every
 * second download of a region with two zones crosses, and operators pay for each byte. Sizes are learnt by route.
 */
export class TransferCost {
  private readonly bytes = new Map<string, number>()

  constructor (private readonly own: Pick<TargetEntry, 'availabilityZone' | 'region'>, private readonly prices: TransferPrices) {}

  learn (routeName: string, answerBytes: number): void {
    const known = this.bytes.get(routeName)
    putBounded(this.bytes, routeName, known === undefined ? answerBytes : known + (answerBytes - known) * SIZE_GAIN, MOST_ROUTES)
  }

  /** Whether the answers of a route are so large that requests have their first place in their host's own zone. */
  isLocal (routeName: string): boolean {
    return this.findMegabytes(routeName) * this.prices.availabilityZoneMsPerMegabyte >= LOCAL_FROM_MS
  }

  /** Milliseconds for one answer of a route from a target. */
  estimate (routeName: string, { availabilityZone, region }: Pick<TargetEntry, 'availabilityZone' | 'region'>): number {
    if (availabilityZone === this.own.availabilityZone) return 0
    const { availabilityZoneMsPerMegabyte, regionMsPerMegabyte } = this.prices
    return this.findMegabytes(routeName) * (region === this.own.region ? availabilityZoneMsPerMegabyte : regionMsPerMegabyte)
  }

  private findMegabytes (routeName: string): number {
    return (this.bytes.get(routeName) ?? 0) / BYTES_PER_MEGABYTE
  }
}
