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
  private meanMs: number | undefined

  /** Work on an object that the target has handled lately. */
  getWarmMs (targetLatencyMs: number): number {
    return this.warmMs ?? targetLatencyMs * FIRST_WARM_PART
  }

  /** Work on an object that is new to the target; never less than on one that it holds. */
  getColdMs (targetLatencyMs: number): number {
    return Math.max(this.coldMs ?? targetLatencyMs * FIRST_COLD_PART, this.getWarmMs(targetLatencyMs))
  }

  /** Work on a request as they come: what those ahead in a queue will take. */
  getMeanMs (targetLatencyMs: number): number {
    return this.meanMs ?? this.getColdMs(targetLatencyMs)
  }

  learn (durationMs: number, wasWarm: boolean): void {
    this.meanMs = learnFrom(this.meanMs, durationMs)
    if (wasWarm) this.warmMs = learnFrom(this.warmMs, durationMs)
    else this.coldMs = learnFrom(this.coldMs, durationMs)
  }
}

const learnFrom = (known: number | undefined, durationMs: number): number => known === undefined ? durationMs : known + (durationMs - known) * GAIN
