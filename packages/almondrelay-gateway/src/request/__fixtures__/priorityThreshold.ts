import { computeShareDraw } from '../computeShareDraw.js'
import { OverloadState } from '../overloadState.js'
import type { WorkSums } from '../workSums.js'

const HIGH_TURNED_AWAY_SHARE = 0.04
const LOW_TURNED_AWAY_SHARE = 0.02
/** Factors by which the admitted work follows the targets: it is cut faster than it is raised, as in known threshold controllers. */
const CUT_FACTOR = 0.95
const RAISE_FACTOR = 1.02
const LEVEL_BUCKETS = 128

/**
 * Admission control by one threshold of priority, adjusted by feedback: each request has a level from its ranks and, within a rank, from a
 * hash of its caller; requests below the threshold are admitted. The alternative to shares in the comparison.
 */
export class PriorityThreshold {
  threshold = Infinity
  private readonly state = new OverloadState()
  private levels = new Array<number>(LEVEL_BUCKETS).fill(0)

  constructor (private readonly ranks: number) {}

  computeLevel (rank: number, requestHash: number, slot: number): number {
    return rank + computeShareDraw(requestHash, slot)
  }

  observeLevel (level: number, workMs: number): void {
    const bucket = Math.min(LEVEL_BUCKETS - 1, Math.floor(level / this.ranks * LEVEL_BUCKETS))
    this.levels[bucket] = (this.levels[bucket] ?? 0) + workMs
  }

  update (sums: WorkSums, now: number): void {
    this.state.observe(sums, this.isFull ? sums.sentMs : Infinity, now)
    const turnedAway = sums.turnedAwayPerSecond / Math.max(1, sums.requestsPerSecond)
    const total = this.levels.reduce((sum, work) => sum + work, 0)
    if (!this.state.isOverloaded || total === 0) this.threshold = Infinity
    else if (turnedAway > HIGH_TURNED_AWAY_SHARE) this.moveThreshold(total, CUT_FACTOR)
    else if (turnedAway < LOW_TURNED_AWAY_SHARE) this.moveThreshold(total, RAISE_FACTOR)
    this.levels = new Array<number>(LEVEL_BUCKETS).fill(0)
  }

  private get isFull (): boolean {
    return this.threshold < this.ranks
  }

  /** Sets the threshold below which the recent requests make up the admitted work times a factor. */
  private moveThreshold (total: number, factor: number): void {
    const width = this.ranks / LEVEL_BUCKETS
    const admitted = this.levels.reduce((sum, work, bucket) => sum + work * Math.min(1, Math.max(0, (this.threshold - bucket * width) / width)), 0)
    let left = Math.min(total, admitted * factor)
    for (const [bucket, work] of this.levels.entries()) {
      if (work > left) {
        this.threshold = (bucket + left / work) * width
        return
      }
      left -= work
    }
    this.threshold = this.ranks
  }
}
