/** A signal that aborts on SIGTERM or SIGINT, for programs that run until they are stopped. */
export function createStopSignal (): AbortSignal {
  const controller = new AbortController()
  process.once('SIGTERM', () => { controller.abort() })
  process.once('SIGINT', () => { controller.abort() })
  return controller.signal
}
