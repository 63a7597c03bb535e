import { performance } from 'node:perf_hooks'
import { Clock } from './clock.js'

/** The clocks of this machine. */
export class SystemClock extends Clock {
  private readonly wallOrigin = Date.now() - performance.now()

  getNow (): number {
    return performance.now()
  }

  getWallTime (): number {
    return this.wallOrigin + performance.now()
  }

  /** Made by hand: the library's way rejects with a new error at each abort, which took 8% of a host under load. */
  sleep (ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal.aborted) {
        resolve()
        return
      }
      const finish = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, ms)
      signal.addEventListener('abort', finish)
    })
  }
}
