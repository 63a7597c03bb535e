import type { Change } from '../../version/resources/change.js'
import { AlmondrelayError } from '../errors/almondrelayError.js'
import { ErrorKind } from '../errors/errorKind.js'
import type { Clock } from '../platform/clock.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import { ChangeLog } from './changeLog.js'
import { changeKeys } from './changeKeys.js'
import { ConfigurationStore } from './configurationStore.js'
import { decodeChange } from './decodeChange.js'
import type { EncodedChange } from './encodedChange.js'
import { findTouchedResource } from './findTouchedResource.js'
import { listChangePage } from './listChangePage.js'
import { repairFromPlatform } from './repairFromPlatform.js'
import type { RestoredChanges } from './restoredChanges.js'
import { takeChangesBeyondGap } from './takeChangesBeyondGap.js'
import type { Write } from './write.js'

interface RestoreOptions {
  platform: KeyValueStore
  store: ConfigurationStore
  clock: Clock
}

/**
 * Writes the changes again that the platform's log has lost because the platform returned from a copy, in order and under the same
 * revisions, so that no gap hides later changes from a host that starts. Each is written once, whichever host is first.
 *
 * Where another change took the revision of a lost one, the log goes first: the lost changes are made again after it by their write ids,
 * unless a change since then concerns the same resource. The configuration in force is replaced in one step.
 *
 * @throws AlmondrelayError if the platform doesn't answer; what was written until then stays, and a repeat goes on from there.
 */
export async function restoreChanges (options: RestoreOptions, signal: AbortSignal): Promise<RestoredChanges> {
  const { platform, store } = options
  const known = store.listKept()
  const stored = await listStoredWrites(platform, (known[0]?.change.revision ?? 1) - 1, signal)
  const written: number[] = []
  for (const [index, { change, body }] of known.entries()) {
    const revision = stored.get(change.writeId)
    if (revision === change.revision) continue
    const { stored: isWritten } = revision === undefined ? await platform.put(changeKeys.makeChangeKey(change.revision), body, 0, signal) : { stored: false }
    if (isWritten) {
      written.push(change.revision)
      continue
    }
    return { written, ...await adoptPlatformLog(options, known.slice(index), signal) }
  }
  return { written, ...await makeAllAgain(options, store, [], signal) }
}

/** Returns the revision of each write that the platform's log holds after a revision, by its id. */
const listStoredWrites = async (platform: KeyValueStore, afterRevision: number, signal: AbortSignal): Promise<Map<string, number>> => {
  const stored = new Map<string, number>()
  for (let after = afterRevision; ;) {
    const { changes, isLast } = await listChangePage(platform, after, signal)
    for (const { revision, body } of changes) stored.set(decodeChange(body, revision).writeId, revision)
    if (isLast) return stored
    after = changes.at(-1)?.revision ?? after
  }
}

/** Adopts the platform's log in place of the known one, after the lost changes were made again at its end. */
const adoptPlatformLog = async (options: RestoreOptions, lost: readonly EncodedChange[], signal: AbortSignal): Promise<Omit<RestoredChanges, 'written'>> => {
  const { platform, store } = options
  const rebuilt = new ConfigurationStore(() => store.given)
  const result = await makeAllAgain(options, rebuilt, lost.map(({ change }) => change), signal)
  store.adoptHistory(rebuilt)
  await repairFromPlatform(platform, store, signal)
  return result
}

/** Updates a store to the end of the log, and makes lost changes, and those that a gap in the log hides, again after it. */
const makeAllAgain = async ({ platform, clock }: RestoreOptions, store: ConfigurationStore, lost: readonly Change[], signal: AbortSignal): Promise<Omit<RestoredChanges, 'written'>> => {
  const hidden = await takeChangesBeyondGap(platform, store, signal)
  const changeLog = new ChangeLog({ platform, store, clock })
  const [first] = lost
  const since = first === undefined ? [] : store.listChanges(first.revision - 1, Infinity) ?? []
  const renumbered: string[] = []
  const dropped: RestoredChanges['dropped'] = []
  for (const change of [...lost, ...hidden]) {
    const { writeId } = change
    if (store.findWrite(writeId) !== undefined) continue
    const reason = since.some((other) => isSameResource(other.change, change)) ? 'a later change concerns the same resource' : await makeAgain(changeLog, change, signal)
    if (reason === undefined) renumbered.push(writeId)
    else dropped.push({ writeId, reason })
  }
  return { renumbered, dropped }
}

/** Returns why the change can't be made again; undefined if it was made. */
const makeAgain = async (changeLog: ChangeLog, change: Change, signal: AbortSignal): Promise<string | undefined> => {
  const { outcome } = await changeLog.submit(makeWrite(change), signal)
  if (outcome === 'unknown') throw new AlmondrelayError({ kind: ErrorKind.platformUnavailable, message: `no answer to the write ${change.writeId}`, remedy: 'try again; it takes effect once' })
  return outcome === 'accepted' ? undefined : outcome
}

const makeWrite = (change: Change): Write => {
  const { writeId, author } = change
  return change.action === 'put' ? { writeId, author, action: 'put', resource: change.resource } : { writeId, author, action: 'delete', kind: change.kind, name: change.name }
}

const isSameResource = (one: Change, other: Change): boolean => {
  const [first, second] = [findTouchedResource(one), findTouchedResource(other)]
  return first.kind === second.kind && first.name === second.name
}
