import VError from 'verror'
import type { StoreErrorKind } from './storeErrorKind.js'

/** Error of a failed call to the platform's store. */
export class StoreError extends VError {
  constructor (readonly kind: StoreErrorKind, call: string, reason: string) {
    super({ name: 'StoreError' }, '%s %s: %s; the call is made again after a pause, check that this host reaches the store', call, kind, reason)
  }
}
