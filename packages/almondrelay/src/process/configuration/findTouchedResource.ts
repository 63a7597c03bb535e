import type { Change } from '../../version/resources/change.js'
import type { ResourceKind } from '../../version/resources/resourceKind.js'
import type { Write } from './write.js'

/** Returns the kind and name of the resource that a change or write concerns. */
export function findTouchedResource (change: Change | Write): { kind: ResourceKind, name: string } {
  const { kind, name } = change.action === 'put' ? change.resource : change
  return { kind, name }
}
