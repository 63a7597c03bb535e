/** Weight of one answer in an estimate: about the last twenty answers of a service count. */
const GAIN = 0.05
/** Work on an object that the target holds, as a part of the latency target, before any answer was measured. */
const FIRST_WARM_PART = 0.4
/** The same for an object that it doesn't hold. */
const FIRST_COLD_PART = 1.2

/** Milliseconds that a service's targets work on one request, learnt from answers. */
export class ServiceTimes {
  private warmMs: number | undefined
  private coldMs: number | undefined

  /** Work on an object that the target has handled lately. */
  getWarmMs (targetLatencyMs: number): number {
    return this.warmMs ?? targetLatencyMs * FIRST_WARM_PART
  }

  /** Work on an object that is new to the target; never less than on one that it holds. */
  getColdMs (targetLatencyMs: number): number {
    return Math.max(this.coldMs ?? targetLatencyMs * FIRST_COLD_PART, this.getWarmMs(targetLatencyMs))
  }

  learnWarm (durationMs: number): void {
    this.warmMs = this.warmMs === undefined ? durationMs : this.warmMs + (durationMs - this.warmMs) * GAIN
  }

  learnCold (durationMs: number): void {
    this.coldMs = this.coldMs === undefined ? durationMs : this.coldMs + (durationMs - this.coldMs) * GAIN
  }
}
