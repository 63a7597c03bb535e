import type { Organisation } from './organisation.js'
import type { RequestLimits } from './requestLimits.js'
import type { Route } from './route.js'
import type { ServiceDefinition } from './serviceDefinition.js'

/** One complete version of what the operators declared. */
export interface SteeringConfiguration {
  /** Rises with each change; a host never returns to a lower version. */
  version: number
  routes: readonly Route[]
  services: ReadonlyMap<string, ServiceDefinition>
  /** Undefined where callers need no key. */
  organisations: readonly Organisation[] | undefined
  limits: RequestLimits
}
