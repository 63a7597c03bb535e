/** Share of its slots that a cold target may use at first. */
const INITIAL_SHARE = 0.25
/** Growth for each warm answer, as a share of the current limit, but at least `MIN_GROWTH_SLOTS`. */
const GROWTH_SHARE = 0.125
const MIN_GROWTH_SLOTS = 0.5
/** An answer within this many times the typical latency counts as warm. */
const MAX_WARM_RATIO = 2.5
/** Number of slow answers that a cold target may give before it counts as slow. */
const MAX_SLOW_ANSWERS = 64

/**
 * Limits the number of requests that a cold target may run at once, and raises the limit with its answers.
 *
 * When much work moves to idle targets, these answer several times slower with cold caches and
 * can't carry the full load; their queue then grows and every caller waits. Here a target begins
 * with a quarter of its slots. Each answer at about the typical latency raises the limit by an
 * eighth; a slow answer doesn't. It takes 9 warm answers from a quarter to all of 6 slots, and 4
 * from one to all of 3 slots. Time alone doesn't raise the limit: a target without work keeps it.
 */
export class ColdRamp {
  private limit: number
  private slowAnswersLeft: number

  private constructor (private slots: number, limit: number, slowAnswers: number) {
    this.limit = Math.min(limit, slots)
    this.slowAnswersLeft = slowAnswers
  }

  /** Creates the ramp of a target that is new, was idle for long or returns: slow answers are tolerated at first. */
  static createCold (slots: number): ColdRamp {
    return new ColdRamp(slots, Math.max(1, slots * INITIAL_SHARE), MAX_SLOW_ANSWERS)
  }

  /** Creates the ramp of a target that passed its trial: the limit grows from one slot and slow answers are not tolerated. */
  static createAfterTrial (slots: number): ColdRamp {
    return new ColdRamp(slots, 1, 0)
  }

  /** Maximum number of requests that may run at once; at least one. */
  get allowed (): number {
    return Math.max(1, Math.floor(this.limit))
  }

  get isDone (): boolean {
    return this.limit >= this.slots
  }

  get isToleratingSlow (): boolean {
    return this.slowAnswersLeft > 0 && !this.isDone
  }

  /** Records an answer. `ratio`: its latency divided by the typical latency. */
  observe (ratio: number): void {
    if (ratio <= MAX_WARM_RATIO) {
      this.limit = Math.min(this.slots, this.limit + Math.max(MIN_GROWTH_SLOTS, this.limit * GROWTH_SHARE))
      return
    }
    this.slowAnswersLeft = Math.max(0, this.slowAnswersLeft - 1)
  }

  /** Lowers the limit after the target shed a request while running `running` requests. */
  observeShed (running: number): void {
    this.limit = Math.max(1, Math.min(this.limit, running) * (1 - GROWTH_SHARE))
  }

  setSlots (slots: number): void {
    const wasDone = this.isDone
    this.slots = slots
    this.limit = wasDone && slots < this.limit ? slots : Math.min(this.limit, slots)
  }
}
