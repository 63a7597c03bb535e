import type { PlannedTarget } from '../deployments/plannedTarget.js'
import { sendJson } from '../network/sendJson.js'
import type { TargetFaults } from '../target/targetFaults.js'
import type { TargetRuns } from '../target/targetRuns.js'
import type { ChildProgram } from './childProgram.js'
import { requireOk } from './requireOk.js'

interface TargetHandleParts {
  plan: PlannedTarget
  address: string
  /** Control port of the program that holds it. */
  control: string
  /** Holds every target of its availability zone. */
  program: ChildProgram
}

/** One target of a cluster. */
export class TargetHandle {
  readonly name: string
  readonly service: string
  readonly availabilityZone: string
  readonly region: string
  readonly address: string
  readonly program: ChildProgram
  private readonly control: string

  constructor ({ plan, address, control, program }: TargetHandleParts) {
    this.name = plan.name
    this.service = plan.service.name
    this.availabilityZone = plan.availabilityZone
    this.region = plan.region
    this.address = address
    this.control = control
    this.program = program
  }

  /** Replaces all fault switches. */
  async setFaults (faults: Partial<TargetFaults>): Promise<void> {
    requireOk(`PUT faults of ${this.name}`, await sendJson({ method: 'PUT', address: this.control, path: `/control/targets/${this.name}/faults`, body: faults }))
  }

  async readRuns (): Promise<TargetRuns> {
    const reply = await sendJson({ method: 'GET', address: this.control, path: `/control/targets/${this.name}/runs` })
    requireOk(`GET runs of ${this.name}`, reply)
    return reply.body as TargetRuns
  }
}
