import * as library from 'almondrelay'
import { AlmondrelayError, ErrorKind, type HostSettings } from 'almondrelay'

type RunDaemon = (settings: HostSettings, signal: AbortSignal) => Promise<number>

/** The library's daemon, which serves until the signal aborts and returns the exit code. */
export function findRunDaemon (): RunDaemon {
  const found = (library as { runDaemon?: RunDaemon }).runDaemon
  if (found !== undefined) return found
  throw new AlmondrelayError({ kind: ErrorKind.notReady, message: 'this build of the library has no daemon', remedy: 'build it from a revision that exports runDaemon' })
}
