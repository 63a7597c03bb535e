import type { StatusHooks } from '../configuration/status/statusHooks.js'
import type { Services } from '../dispatch/services.js'
import type { HostSlots } from '../limits/hostSlots.js'

/** Figures of this host for the status of resources. */
export function buildStatusHooks (services: Services, slots: HostSlots): StatusHooks {
  return {
    countWorkLeft: (drain) => {
      if (drain.spec.scope !== 'target' || drain.spec.service === undefined) return services.list().reduce((sum, runtime) => sum + slots.countRunning(runtime.name), 0)
      return services.find(drain.spec.service)?.findTarget(drain.name) === undefined ? undefined : 0
    },
    countCarried: () => undefined
  }
}
