import { TargetChooser } from '../../request/choice/targetChooser.js'
import { RetryBudget } from '../../request/retry/retryBudget.js'
import type { ServiceSpec } from '../../version/resources/serviceSpec.js'
import type { TargetSpec } from '../../version/resources/targetSpec.js'
import type { Lane } from './lane.js'

/** What this host keeps for one service as long as the service is configured. */
export class ServiceRuntime {
  readonly chooser = new TargetChooser()
  readonly retryBudget = new RetryBudget()
  readonly lanes = new Map<string, Lane>()
  private targets = new Map<string, TargetSpec>()

  constructor (readonly name: string, private currentSpec: ServiceSpec) {}

  get spec (): ServiceSpec {
    return this.currentSpec
  }

  /** Takes the service's newest spec; `availabilityZone` is this host's. */
  adoptSpec (spec: ServiceSpec, availabilityZone: string, leaving: ReadonlySet<string>, now: number): void {
    this.currentSpec = spec
    const own = spec.targets.filter((target) => target.availabilityZone === availabilityZone)
    this.targets = new Map(own.map((target) => [target.name, target]))
    this.chooser.adoptTargets(own, now)
    for (const target of own) this.chooser.markLeaving(target.name, leaving.has(target.name), now)
  }

  /** A target of this host's availability zone. */
  findTarget (name: string): TargetSpec | undefined {
    return this.targets.get(name)
  }

  listTargets (): TargetSpec[] {
    return [...this.targets.values()]
  }
}
