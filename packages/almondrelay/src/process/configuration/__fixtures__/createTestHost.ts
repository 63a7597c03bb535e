import Logger from 'bunyan'
import { createSeededRandom } from '../../../request/createSeededRandom.js'
import type { FakeClock } from '../../platform/__fixtures__/fakeClock.js'
import type { FakePlatform } from '../../platform/__fixtures__/fakePlatform.js'
import { ChangeLog } from '../changeLog.js'
import { ConfigurationStore } from '../configurationStore.js'
import { followPlatformChanges } from '../followPlatformChanges.js'

interface TestHost {
  store: ConfigurationStore
  changeLog: ChangeLog
  /** Every revision that was in force, in order. */
  revisions: number[]
  follow: (signal: AbortSignal) => Promise<void>
}

/** The configuration components of one entry host, without network ports. */
export function createTestHost (platform: FakePlatform, clock: FakeClock, seed = 1): TestHost {
  const store = new ConfigurationStore()
  const revisions: number[] = []
  store.subscribe((configuration) => { revisions.push(configuration.revision) }, new AbortController().signal)
  const log = new Logger({ name: 'test', streams: [] })
  const random = createSeededRandom(seed)
  return {
    store,
    changeLog: new ChangeLog({ platform, store, clock }),
    revisions,
    follow: async (signal) => { await followPlatformChanges({ platform, store, clock, random, log, isWatcher: () => true }, signal) }
  }
}
