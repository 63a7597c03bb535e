import type { CallerIdentity } from './callerIdentity.js'
import type { Organisation } from './organisation.js'

/** The organisation that a request came from; undefined where its caller needed no key. */
export function findOrganisation (identity: CallerIdentity): Organisation | undefined {
  return identity.kind === 'organisation' ? identity.organisation : undefined
}
