import type { Clock } from '../platform/clock.js'

interface DeadlineSignal {
  signal: AbortSignal
  /** Ends the timer; call it once the work is done. */
  clear: () => void
}

/** Made once: an abort without a reason makes an error with a stack each time. */
const PASSED = new Error('the deadline has passed')
const CANCELLED = new Error('cancelled')

/** A signal that aborts at a monotonic time, or with its parent. */
export function createDeadlineSignal (clock: Clock, deadlineAt: number, parent?: AbortSignal): DeadlineSignal {
  const deadline = new AbortController()
  const timer = new AbortController()
  const abortWithParent = (): void => { deadline.abort(CANCELLED) }
  if (parent?.aborted === true) deadline.abort(CANCELLED)
  parent?.addEventListener('abort', abortWithParent, { once: true })
  void clock.sleep(Math.max(0, deadlineAt - clock.getNow()), timer.signal).then(() => {
    if (!timer.signal.aborted) deadline.abort(PASSED)
  })
  return {
    signal: deadline.signal,
    clear: () => {
      timer.abort(CANCELLED)
      parent?.removeEventListener('abort', abortWithParent)
    }
  }
}
