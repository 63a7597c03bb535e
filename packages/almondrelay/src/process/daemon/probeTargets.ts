import { z } from 'zod'
import type { TargetSpec } from '../../version/resources/targetSpec.js'
import { LeavingSource } from '../membership/leavingSource.js'
import { createDeadlineSignal } from '../dispatch/createDeadlineSignal.js'
import type { ServiceRuntime } from '../dispatch/serviceRuntime.js'
import type { Host } from './host.js'

const TargetHealth = z.object({ healthy: z.boolean(), leaving: z.boolean(), load: z.number() })

const PROBE_INTERVAL_MS = 1_000
const PROBE_TIMEOUT_MS = 1_000
const MAX_HEALTH_BYTES = 4_096

/** Probes each target that this host owns once a second for its health, its load and whether it is leaving. */
export async function probeTargets (host: Host, signal: AbortSignal): Promise<void> {
  const { clock, services, slots } = host
  const source = new LeavingSource(host.leavingTargets)
  while (!signal.aborted) {
    const probes = services.list().flatMap((runtime) => {
      const owned = slots.getFree(runtime.name, clock.getNow())
      return runtime.listTargets().filter((target) => owned.has(target.name)).map((target) => probeTarget(host, source, runtime, target, signal))
    })
    await Promise.all([...probes, clock.sleep(PROBE_INTERVAL_MS, signal)])
  }
}

async function probeTarget (host: Host, source: LeavingSource, runtime: ServiceRuntime, target: TargetSpec, signal: AbortSignal): Promise<void> {
  const { targets, clock, log } = host
  const timeout = createDeadlineSignal(clock, clock.getNow() + PROBE_TIMEOUT_MS, signal)
  const result = await targets.send(target.address, { method: 'GET', path: runtime.spec.healthPath, headers: [], body: new Uint8Array(0), idempotent: true, maxAnswerBytes: MAX_HEALTH_BYTES }, timeout.signal)
  timeout.clear()
  if (result.kind !== 'answered') return
  try {
    const health = TargetHealth.parse(JSON.parse(Buffer.from(result.body).toString()))
    runtime.observeReport(target.name, health, clock.getNow())
    source.observe(runtime.name, target.name, health.leaving, clock.getNow())
  } catch (error) {
    log.debug({ err: error, target: target.name }, 'health answer could not be parsed; using local measurements only')
  }
}
