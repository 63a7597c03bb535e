/** Share of the slots with which a cold target begins. */
const INITIAL_SHARE = 0.25
/** Growth for each warm answer, as a part of the present limit, and at least `MIN_GROWTH` slots. */
const GROWTH = 0.125
const MIN_GROWTH = 0.5
/** An answer within this many times the typical latency counts as warm. */
const WARM_RATIO = 2.5
/** Slow answers that a cold target is forgiven, one at a time, before it counts as slow. */
const COLD_ANSWERS = 64

/**
 * The number of requests that a cold target may run at once, grown by its own answers.
 *
 * Answers a big move on to idle targets: with cold caches they answer several times
 * slower, and at full load that is above what they can do; the queue before them then
 * grows and every caller waits. Here a target begins at a quarter of its slots and each
 * answer at about the typical latency raises that by an eighth; a slow one doesn't. From a
 * quarter to all of 6 slots takes 9 warm answers, from one to all of 3 slots 4. A clock plays no part: a target
 * that gets no work stays where it is.
 */
export class ColdRamp {
  private limit: number
  private coldAnswersLeft: number

  private constructor (private slots: number, limit: number, coldAnswers: number) {
    this.limit = Math.min(limit, slots)
    this.coldAnswersLeft = coldAnswers
  }

  /** For a target that is new, was long idle or comes back: slow answers are forgiven at first. */
  static createCold (slots: number): ColdRamp {
    return new ColdRamp(slots, Math.max(1, slots * INITIAL_SHARE), COLD_ANSWERS)
  }

  /** For a target whose trial went well: it grows from one slot and nothing is forgiven. */
  static createTried (slots: number): ColdRamp {
    return new ColdRamp(slots, 1, 0)
  }

  /** Requests that may run at once; at least one. */
  get allowed (): number {
    return Math.max(1, Math.floor(this.limit))
  }

  get isDone (): boolean {
    return this.limit >= this.slots
  }

  get isForgiving (): boolean {
    return this.coldAnswersLeft > 0 && !this.isDone
  }

  /** `ratio`: the answer's latency over the typical one. */
  observe (ratio: number): void {
    if (ratio <= WARM_RATIO) {
      this.limit = Math.min(this.slots, this.limit + Math.max(MIN_GROWTH, this.limit * GROWTH))
      return
    }
    this.coldAnswersLeft = Math.max(0, this.coldAnswersLeft - 1)
  }

  /** The target said that it is full with `running` requests. */
  observeShed (running: number): void {
    this.limit = Math.max(1, Math.min(this.limit, running) * (1 - GROWTH))
  }

  setSlots (slots: number): void {
    const wasDone = this.isDone
    this.slots = slots
    this.limit = wasDone && slots < this.limit ? slots : Math.min(this.limit, slots)
  }
}
