import type { CallerIdentity } from './callerIdentity.js'
import type { OrganisationTable } from './organisationTable.js'
import type { Route } from './route.js'

/**
 * Identifies the sender of a request to a route.
 *
 * @param key what the caller sent to identify itself; undefined where it sent nothing usable
 */
export function identifyCaller (organisations: OrganisationTable, key: string | undefined, route: Pick<Route, 'isOpen'>): CallerIdentity {
  if (!organisations.requiresKeys) return { kind: 'unchecked' }
  const organisation = key === undefined ? undefined : organisations.findByKey(key)
  if (organisation !== undefined) return { kind: 'organisation', organisation }
  return route.isOpen ? { kind: 'anonymous' } : { kind: 'unknown' }
}
