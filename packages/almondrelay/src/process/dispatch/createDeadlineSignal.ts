import type { Clock } from '../platform/clock.js'

interface DeadlineSignal {
  signal: AbortSignal
  /** Stops the timer and detaches from the parent; to be called when the work is done. */
  clear: () => void
}

/** Abort reasons, shared by all signals: an abort without a reason would create an error with a stack trace each time. */
const DEADLINE_PASSED_ERROR = new Error('the deadline has passed')
const CANCELLED_ERROR = new Error('cancelled')

/** Creates a signal that aborts at `deadlineAt` (monotonic milliseconds), or earlier together with `parent`. */
export function createDeadlineSignal (clock: Clock, deadlineAt: number, parent?: AbortSignal): DeadlineSignal {
  const deadline = new AbortController()
  const timer = new AbortController()
  const abortWithParent = (): void => { deadline.abort(CANCELLED_ERROR) }
  if (parent?.aborted === true) deadline.abort(CANCELLED_ERROR)
  parent?.addEventListener('abort', abortWithParent, { once: true })
  void clock.sleep(Math.max(0, deadlineAt - clock.getNow()), timer.signal).then(() => {
    if (!timer.signal.aborted) deadline.abort(DEADLINE_PASSED_ERROR)
  })
  return {
    signal: deadline.signal,
    clear: () => {
      timer.abort(CANCELLED_ERROR)
      parent?.removeEventListener('abort', abortWithParent)
    }
  }
}
