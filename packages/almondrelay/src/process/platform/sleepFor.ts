/**
 * Resolves after `ms` milliseconds, or as soon as the signal aborts; never rejects. `setTimeout` of node:timers/promises
 * is not used, because it rejects with a new error on each abort, which took 8% of the CPU time of a host under load.
 */
export function sleepFor (ms: number, signal: AbortSignal): Promise<void> {
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
