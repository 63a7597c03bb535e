import type Logger from 'bunyan'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import type { ChangeLog } from './changeLog.js'
import type { ConfigurationStore } from './configurationStore.js'
import { loadSnapshotRevision } from './loadSnapshotRevision.js'
import { saveSnapshot } from './saveSnapshot.js'

/** Changes after which a new snapshot is due: about 75 snapshots a day at 19,000 changes. */
const CHANGES_PER_SNAPSHOT = 256
/** A snapshot that is due and wasn't written is attempted again by the host that makes the 32nd change after that. */
const CHANGES_PER_ATTEMPT = 32

interface SnapshotWriterOptions {
  platform: KeyValueStore
  store: ConfigurationStore
  changeLog: ChangeLog
  log: Logger
}

/**
 * Writes a snapshot whenever one is due and this host has made a change whose revision is a
 * multiple of 32. Only one host made that change, so only one host writes, without an election.
 */
export async function runSnapshotWriter (options: SnapshotWriterOptions, signal: AbortSignal): Promise<void> {
  const { platform, store, changeLog, log } = options
  let writing: Promise<void> = Promise.resolve()
  const saveIfDue = async (): Promise<void> => {
    try {
      const newest = await loadSnapshotRevision(platform, signal)
      if (store.current.revision - newest < CHANGES_PER_SNAPSHOT) return
      const revision = await saveSnapshot(platform, store.buildSnapshot(), signal)
      log.info({ revision }, 'snapshot written')
    } catch (error) {
      if (!signal.aborted) log.warn({ err: error }, 'snapshot not written; the change log is still complete')
    }
  }
  changeLog.subscribe((revision) => {
    if (revision % CHANGES_PER_ATTEMPT === 0) writing = writing.then(saveIfDue)
  }, signal)
  if (!signal.aborted) await new Promise<void>((resolve) => { signal.addEventListener('abort', () => { resolve() }, { once: true }) })
  await writing
}
