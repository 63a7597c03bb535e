import type { CallerIdentity } from './callerIdentity.js'
import type { Organisation } from './organisation.js'

/** Returns the organisation that a request came from; undefined where its caller wasn't identified as one. */
export function findOrganisation (identity: CallerIdentity): Organisation | undefined {
  return identity.kind === 'organisation' ? identity.organisation : undefined
}
