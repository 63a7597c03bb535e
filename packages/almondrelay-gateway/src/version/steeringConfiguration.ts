import type { Organisation } from './organisation.js'
import type { RequestLimits } from './requestLimits.js'
import type { Route } from './route.js'
import type { ServiceDefinition } from './serviceDefinition.js'

/** One version of what the operators declared, whole. */
export interface SteeringConfiguration {
  /** Rises with each change; a host never goes back to a lower one. */
  version: number
  routes: readonly Route[]
  services: ReadonlyMap<string, ServiceDefinition>
  /** Undefined where callers need no key. */
  organisations: readonly Organisation[] | undefined
  limits: RequestLimits
}
