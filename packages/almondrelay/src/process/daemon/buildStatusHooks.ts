import { match } from 'ts-pattern'
import type { StatusHooks } from '../configuration/status/statusHooks.js'
import type { ServiceRuntime } from '../dispatch/serviceRuntime.js'
import type { Services } from '../dispatch/services.js'
import { LimitKind } from '../limits/limitKind.js'
import type { RegionLimits } from '../limits/regionLimits.js'

/** Returns the functions that count this host's share of the figures in the status of resources. */
export function buildStatusHooks (services: Services, limits: RegionLimits): StatusHooks {
  return {
    countWorkLeft: (drain) => {
      const drained = services.list().filter((runtime) => drain.spec.service === undefined || runtime.name === drain.spec.service)
      return drained.reduce((sum, runtime) => sum + countRunning(runtime, drain.spec.scope === 'target' ? drain.spec.name : undefined), 0)
    },
    countCarried: (resource) => match(resource)
      .with({ kind: 'Region' }, ({ name }) => limits.countRunning(`${LimitKind.region}/${name}`))
      .with({ kind: 'Link' }, ({ name }) => limits.countRunning(`${LimitKind.link}/${name}`))
      .with({ kind: 'ShiftCap' }, ({ name }) => limits.countRunning(`${LimitKind.shift}/${name}`))
      .exhaustive()
  }
}

/** Counts the requests that run on the given target or, when none is given, on all drained targets of this host's zone. */
function countRunning (runtime: ServiceRuntime, target: string | undefined): number {
  const targets = runtime.listTargets().filter((each) => target === undefined ? runtime.isDrained(each.name) : each.name === target)
  return targets.reduce((sum, each) => sum + runtime.chooser.countRunning(each.name), 0)
}
