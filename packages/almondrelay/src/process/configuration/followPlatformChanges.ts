import type Logger from 'bunyan'
import type { Random } from '../../request/random.js'
import type { Clock } from '../platform/clock.js'
import type { Platform } from '../platform/platform.js'
import { changeKeys } from './changeKeys.js'
import { computeBackoff } from './computeBackoff.js'
import type { ConfigurationStore } from './configurationStore.js'
import { decodeChange } from './decodeChange.js'
import { repairFromPlatform } from './repairFromPlatform.js'

/** Interval at which a host that isn't a watcher checks whether it has become one. */
const WATCHER_CHECK_INTERVAL_MS = 250
/**
 * Timeout of a watch, and so the longest time for which a watch that stopped reporting goes undetected: the log is
 * listed after each watch without events. With it, 160 watchers make 64 calls a second, 3% of the two thousand
 * reads a second that the platform serves.
 */
const WATCH_TIMEOUT_MS = 5_000

interface FollowOptions {
  platform: Platform
  store: ConfigurationStore
  clock: Clock
  random: Random
  log: Logger
  /** Whether this host is one of the two of its zone that watch; asked before each call. */
  isWatcher: () => boolean
}

/** Applies the platform's change log to the store continuously while this host is a watcher of its zone. */
export async function followPlatformChanges (options: FollowOptions, signal: AbortSignal): Promise<void> {
  const { clock, random, log, isWatcher } = options
  let failures = 0
  while (!signal.aborted) {
    if (!isWatcher()) {
      await clock.sleep(WATCHER_CHECK_INTERVAL_MS, signal)
      continue
    }
    try {
      await watchWhileWatcher(options, () => { failures = 0 }, signal)
    } catch (error) {
      if (signal.aborted) return
      log.warn({ err: error, failures, revision: options.store.current.revision }, 'following platform changes failed; retrying after a delay')
      await clock.sleep(computeBackoff(failures, random), signal)
      failures += 1
    }
  }
}

async function watchWhileWatcher (options: FollowOptions, markAnswered: () => void, signal: AbortSignal): Promise<void> {
  const { platform, store, isWatcher } = options
  // The sequence is read before the list, so that no change is missed between the two.
  let { sequence } = await platform.watch(changeKeys.prefix, -1, 0, signal)
  await repairFromPlatform(platform, store, signal)
  while (!signal.aborted && isWatcher()) {
    markAnswered()
    const result = await platform.watch(changeKeys.prefix, sequence, WATCH_TIMEOUT_MS, signal)
    sequence = result.sequence
    const adopted = result.events.filter((event) => tryAdopt(store, event.key, event.value)).length
    if (adopted === 0 || adopted < result.events.length) await repairFromPlatform(platform, store, signal)
  }
}

function tryAdopt (store: ConfigurationStore, key: string, value: string): boolean {
  const revision = changeKeys.parseRevision(key)
  if (revision !== store.current.revision + 1) return false
  return store.adoptChange(decodeChange(value, revision), value)
}
