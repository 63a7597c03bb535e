import type { Change } from '../../version/resources/change.js'

/** Encodes a change in the form that the platform stores. */
export function encodeChange (change: Change): string {
  return JSON.stringify(change)
}
