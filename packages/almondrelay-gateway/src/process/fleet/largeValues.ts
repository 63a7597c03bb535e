import { computeHash } from '../../version/computeHash.js'
import type { StoreEvent } from '../store/storeEvent.js'
import type { StoreItem } from '../store/storeItem.js'
import { applyPatchSteps } from './applyPatchSteps.js'
import { computePatchSteps } from './computePatchSteps.js'
import { MIN_LARGE_VALUE_BYTES } from './minLargeValueBytes.js'
import type { RelayedEvent } from './relayedEvent.js'

/** Maximum number of values kept: several of the configuration, which a watcher and another host may know in different versions. */
const MAX_VALUES = 3

/** The last large values of the store's keys, from which differences are made and to which they are applied. */
export class LargeValues {
  private values: StoreItem[] = []

  /** Records a value that the store has stated, if it is large. */
  record (item: StoreItem): void {
    if (item.value.byteLength < MIN_LARGE_VALUE_BYTES || this.find(item.key, item.revision) !== undefined) return
    this.values = [...this.values, item].slice(-MAX_VALUES)
  }

  /** Forgets all values: after a return of the store from a copy, revisions name other values. */
  clear (): void {
    this.values = []
  }

  /** Returns a change as it is to be relayed, given what was recorded before it. */
  encode (event: StoreEvent): RelayedEvent {
    if (event.kind === 'deleted' || event.item.value.byteLength < MIN_LARGE_VALUE_BYTES) return event
    const { key, value, revision, createdRevision } = event.item
    const base = this.values.findLast((item) => item.key === key && item.revision < revision)
    if (base === undefined) return event
    const patch = { baseRevision: base.revision, hash: computeValueHash(value), steps: computePatchSteps(base.value, value) }
    return { kind: 'patched', key, revision, createdRevision, patch }
  }

  /** Returns the change that a relayed one stands for; undefined if this host lacks the value from which the difference was made. */
  decode (event: RelayedEvent): StoreEvent | undefined {
    if (event.kind !== 'patched') return event
    const { key, revision, createdRevision, patch: { baseRevision, hash, steps } } = event
    const base = this.find(key, baseRevision)
    const value = base === undefined ? undefined : tryApplySteps(base.value, steps)
    return value === undefined || computeValueHash(value) !== hash ? undefined : { kind: 'written', item: { key, value, revision, createdRevision } }
  }

  private find (key: string, revision: number): StoreItem | undefined {
    return this.values.find((item) => item.key === key && item.revision === revision)
  }
}

const computeValueHash = (value: Buffer): number => computeHash(value.toString('latin1'))

const tryApplySteps = (base: Buffer, steps: Uint8Array): Buffer | undefined => {
  try {
    return applyPatchSteps(base, steps)
  } catch {
    return undefined
  }
}
