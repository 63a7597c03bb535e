import { ResourceKind } from 'almondrelay'
import type { DeclaredResource } from './declaredResource.js'

// A policy, drain or cap that comes before the region or service it names would be refused, or hold for nothing.
const ORDER: readonly ResourceKind[] = [
  ResourceKind.region,
  ResourceKind.link,
  ResourceKind.service,
  ResourceKind.shiftCap,
  ResourceKind.steeringPolicy,
  ResourceKind.drain
]

/**
 * Resources in the order in which they can be written: what others name first, and caps before
 * the policies and drains whose shift they limit.
 */
export function sortByDependence (resources: readonly DeclaredResource[]): DeclaredResource[] {
  return [...resources].sort((left, right) => ORDER.indexOf(left.kind) - ORDER.indexOf(right.kind))
}
