import { performance } from 'node:perf_hooks'
import { setTimeout as waitForTimeout } from 'node:timers/promises'
import { Clock } from './clock.js'

/** The clocks of this machine. */
export class SystemClock extends Clock {
  private readonly wallOrigin = Date.now() - performance.now()

  override getNow (): number {
    return performance.now()
  }

  override getWallTime (): number {
    return this.wallOrigin + performance.now()
  }

  override async sleep (ms: number, signal: AbortSignal): Promise<void> {
    await waitForTimeout(ms, undefined, { signal }).catch(() => undefined)
  }
}
