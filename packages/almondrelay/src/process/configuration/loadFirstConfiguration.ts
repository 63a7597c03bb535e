import type Logger from 'bunyan'
import type { Random } from '../../request/random.js'
import type { Clock } from '../platform/clock.js'
import { computeBackoff } from './computeBackoff.js'
import type { ConfigurationStore } from './configurationStore.js'

/** Timeout for the slower sources once one has answered. */
const SLOW_SOURCES_TIMEOUT_MS = 2_000

/** Updates the store to the latest revision of a source; false where the source has no configuration itself. Rejects if it does not answer. */
type Source = (signal: AbortSignal) => Promise<boolean>

interface FirstConfigurationOptions {
  store: ConfigurationStore
  clock: Clock
  random: Random
  log: Logger
  /** The platform and the peers that are known now. */
  listSources: () => Source[]
}

/**
 * Gives an empty host its first configuration and marks the store ready.
 *
 * Guards against serving with a revision older than one that the host's callers have already seen: every reachable
 * source is asked, the highest revision is adopted, and the host isn't ready before that. A source that doesn't answer
 * delays the host by two seconds at most once another one has answered.
 */
export async function loadFirstConfiguration (options: FirstConfigurationOptions, signal: AbortSignal): Promise<void> {
  const { store, clock, random, log } = options
  for (let failures = 0; !signal.aborted; failures++) {
    if (await askSources(options, signal)) {
      store.markReady()
      log.info({ revision: store.current.revision }, 'first configuration loaded')
      return
    }
    log.warn({ failures }, 'no configuration yet: neither the platform nor a peer has answered with one')
    await clock.sleep(computeBackoff(failures, random), signal)
  }
}

async function askSources (options: FirstConfigurationOptions, signal: AbortSignal): Promise<boolean> {
  const { clock, log } = options
  const round = new AbortController()
  const cancel = () => { round.abort() }
  signal.addEventListener('abort', cancel, { once: true })
  let answered = false
  const asked = options.listSources().map(async (source) => {
    try {
      if (await source(round.signal)) answered = true
    } catch (error) {
      if (!round.signal.aborted) log.debug({ err: error }, 'a source of the configuration did not answer')
    }
  })
  await Promise.race([Promise.all(asked), clock.sleep(SLOW_SOURCES_TIMEOUT_MS, round.signal)])
  cancel()
  signal.removeEventListener('abort', cancel)
  return answered && !signal.aborted
}
