import type { VirtualClock } from './virtualClock.js'

const CHECK_MS = 10

/** The time of one host of a model: while the host is suspended, none of its waits ends. */
export class SuspendableClock {
  constructor (private readonly clock: VirtualClock, private readonly isSuspended: () => boolean) {}

  get now (): number {
    return this.clock.now
  }

  schedule (ms: number, run: () => void): void {
    this.clock.schedule(ms, () => { this.runWhenAwake(run) })
  }

  /** Resolves after `ms` milliseconds, or when the signal aborts, but not while the host is suspended. */
  readonly sleep = async (ms: number, signal: AbortSignal): Promise<void> => {
    await this.clock.sleep(ms, signal)
    await new Promise<void>((resolve) => { this.runWhenAwake(resolve) })
  }

  private runWhenAwake (run: () => void): void {
    if (this.isSuspended()) this.clock.schedule(CHECK_MS, () => { this.runWhenAwake(run) })
    else run()
  }
}
