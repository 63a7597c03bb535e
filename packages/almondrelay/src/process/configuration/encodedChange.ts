import type { Change } from '../../version/resources/change.js'

/** A change with its JSON form, which the platform stores and peers pass on. */
export interface EncodedChange {
  change: Change
  body: string
}
