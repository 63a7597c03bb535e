import type { Deployment } from '../deployments/deployment.js'
import { planTargets } from '../deployments/planTargets.js'
import type { PlannedTarget } from '../deployments/plannedTarget.js'
import type { TargetSettings } from '../target/targetSettings.js'
import { ChildProgram } from './childProgram.js'
import { resolveProgram } from './resolveProgram.js'
import { TargetHandle } from './targetHandle.js'

interface TargetLine {
  control: string
  targets: Array<{ name: string, address: string }>
}

type TargetOptions = Partial<Omit<TargetSettings, 'name' | 'service' | 'slots' | 'address'>>

/** Starts the targets of a deployment, with one program or a few for each availability zone. */
export async function startTargets (deployment: Deployment, options: TargetOptions, signal: AbortSignal, programsAZone = 1): Promise<TargetHandle[]> {
  const plans = planTargets(deployment)
  const zones = [...new Set(plans.map((plan) => plan.availabilityZone))]
  const groups = zones.flatMap((zone) => splitEvenly(plans.filter((plan) => plan.availabilityZone === zone), programsAZone))
  const started = await Promise.all(groups.map(async (group) => await startProgram(group, options, signal)))
  return started.flat()
}

async function startProgram (plans: PlannedTarget[], options: TargetOptions, signal: AbortSignal): Promise<TargetHandle[]> {
  const zone = plans[0]?.availabilityZone ?? ''
  const settings = plans.map((plan, index) => ({
    name: plan.name,
    service: plan.service.name,
    slots: plan.service.slots,
    serviceTimeMs: plan.service.serviceTimeMs,
    seed: index + 1,
    ...options
  }))
  const program = ChildProgram.start({ name: `targets of ${zone}`, args: [resolveProgram('target'), '--targets', JSON.stringify(settings)], signal })
  const line = JSON.parse(await program.waitForLine((each) => each.startsWith('{"control"'))) as TargetLine
  return plans.map((plan) => {
    const address = line.targets.find((target) => target.name === plan.name)?.address
    if (address === undefined) throw new Error(`the program of zone ${zone} did not start target ${plan.name}`)
    return new TargetHandle({ plan, address, control: line.control, program })
  })
}

function splitEvenly (plans: PlannedTarget[], parts: number): PlannedTarget[][] {
  const groups = Array.from({ length: parts }, (_, part) => plans.filter((_plan, index) => index % parts === part))
  return groups.filter((group) => group.length > 0)
}
