import type { EventEmitter } from 'node:events'
import { ExitCode } from '../common/exitCode.js'

interface StopHandlers {
  log: (message: string) => void
  /** Ends the process. */
  exit: (code: ExitCode) => void
}

/**
 * Returns a signal that aborts at the first SIGTERM or SIGINT, which starts the planned stop. A second SIGTERM or SIGINT
 * ends the process at once.
 */
export function watchStopSignals (source: EventEmitter, handlers: StopHandlers): AbortSignal {
  const stop = new AbortController()
  const handleSignal = (name: string): void => {
    if (stop.signal.aborted) {
      handlers.log(`second signal ${name}: ending at once, with work in flight cut off`)
      handlers.exit(ExitCode.failed)
      return
    }
    handlers.log(`signal ${name}: planned stop; a second signal ends at once`)
    stop.abort()
  }
  for (const name of ['SIGTERM', 'SIGINT']) source.on(name, () => handleSignal(name))
  return stop.signal
}
