import type { StoreEvent } from '../store/storeEvent.js'
import type { ValuePatch } from './valuePatch.js'

/** Change of one key of the store as hosts relay it: a large value is sent as its difference from the value before. */
export type RelayedEvent = StoreEvent | { kind: 'patched', key: string, revision: number, createdRevision: number, patch: ValuePatch }
