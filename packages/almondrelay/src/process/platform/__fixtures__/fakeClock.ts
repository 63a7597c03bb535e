import { Clock } from '../clock.js'

interface Timer {
  at: number
  wake: () => void
}

/** Virtual clock: time moves only in `advance`, timer by timer, and all pending tasks run between two timers. */
export class FakeClock extends Clock {
  private now = 0
  private timers: Timer[] = []

  getNow (): number {
    return this.now
  }

  getWallTime (): number {
    return 1_790_000_000_000 + this.now
  }

  async sleep (ms: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    await new Promise<void>((resolve) => {
      const timer = { at: this.now + Math.max(0, ms), wake: () => { finish() } }
      const finish = () => {
        this.timers = this.timers.filter((each) => each !== timer)
        signal.removeEventListener('abort', finish)
        resolve()
      }
      signal.addEventListener('abort', finish, { once: true })
      this.timers.push(timer)
    })
  }

  async advance (ms: number): Promise<void> {
    const end = this.now + ms
    await this.flush()
    for (let next = this.findNext(end); next !== undefined; next = this.findNext(end)) {
      this.now = Math.max(this.now, next.at)
      next.wake()
      await this.flush()
    }
    this.now = end
  }

  /** Runs pending tasks until all of them wait for a timer. */
  async flush (): Promise<void> {
    await new Promise<void>((resolve) => { setImmediate(resolve) })
    await new Promise<void>((resolve) => { setImmediate(resolve) })
  }

  private findNext (end: number): Timer | undefined {
    return this.timers
      .filter((timer) => timer.at <= end)
      .reduce<Timer | undefined>((first, timer) => (first === undefined || timer.at < first.at ? timer : first), undefined)
  }
}
