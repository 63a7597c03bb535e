import { ResourceKind } from 'almondrelay'
import type { DeclaredResource } from './declaredResource.js'

// A policy, drain or cap that is written before the region or service it names would be refused or have no effect.
const WRITE_ORDER: readonly ResourceKind[] = [
  ResourceKind.region,
  ResourceKind.link,
  ResourceKind.service,
  ResourceKind.shiftCap,
  ResourceKind.steeringPolicy,
  ResourceKind.drain
]

/**
 * Sorts resources in the order in which they can be written: those that others refer to first, and caps before the policies
 * and drains whose shift they limit.
 */
export function sortByDependence (resources: readonly DeclaredResource[]): DeclaredResource[] {
  return [...resources].sort((left, right) => WRITE_ORDER.indexOf(left.kind) - WRITE_ORDER.indexOf(right.kind))
}
