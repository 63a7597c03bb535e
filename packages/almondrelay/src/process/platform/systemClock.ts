import { performance } from 'node:perf_hooks'
import { Clock } from './clock.js'
import { sleepFor } from './sleepFor.js'

/** Clock that reads the monotonic and wall time of this machine. */
export class SystemClock extends Clock {
  private readonly wallOrigin = Date.now() - performance.now()

  getNow (): number {
    return performance.now()
  }

  getWallTime (): number {
    return this.wallOrigin + performance.now()
  }

  sleep (ms: number, signal: AbortSignal): Promise<void> {
    return sleepFor(ms, signal)
  }
}
