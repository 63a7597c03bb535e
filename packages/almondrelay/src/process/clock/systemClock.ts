import { performance } from 'node:perf_hooks'
import { Clock } from './clock.js'

/** The clocks of this machine. */
export class SystemClock extends Clock {
  private readonly wallOrigin = Date.now() - performance.now()

  override now (): number {
    return performance.now()
  }

  override readWall (): number {
    return this.wallOrigin + performance.now()
  }
}
