import { Clock } from './clock.js'

/** The clocks of the process. */
export class SystemClock extends Clock {
  getNow (): number {
    return performance.now()
  }

  getWallTime (): number {
    return Date.now()
  }

  async sleep (ms: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    await new Promise<void>((resolve) => {
      const finish = () => {
        clearTimeout(timer)
        signal.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, ms)
      signal.addEventListener('abort', finish, { once: true })
    })
  }
}
