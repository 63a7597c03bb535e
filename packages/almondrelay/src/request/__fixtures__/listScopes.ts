import { deployments } from './deployments.js'
import type { Scope } from './scope.js'

/** Lists every service of both deployments, both with the targets of one zone (one host) and with all targets. */
export function listScopes (): Scope[] {
  return deployments.flatMap((deployment) => deployment.services.flatMap((size) => [
    { name: `${deployment.name}/${size.service}/zone`, targets: Math.round(size.targets / deployment.zones), slots: size.slots, meanMs: size.meanMs },
    { name: `${deployment.name}/${size.service}/whole`, targets: size.targets, slots: size.slots, meanMs: size.meanMs }
  ]))
}
