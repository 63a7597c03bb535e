import type { Change } from '../../version/resources/change.js'

/** The form in which the platform keeps a change. */
export function encodeChange (change: Change): string {
  return JSON.stringify(change)
}
