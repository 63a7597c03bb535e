import type { TargetChooser } from '../../request/choice/targetChooser.js'
import type { TargetReport } from '../../request/choice/targetReport.js'
import { RetryBudget } from '../../request/retry/retryBudget.js'
import type { ServiceSpec } from '../../version/resources/serviceSpec.js'
import type { TargetSpec } from '../../version/resources/targetSpec.js'
import type { RegionQueue } from './regionQueue.js'

/** State that this host keeps for one service while the service is configured. */
export class ServiceRuntime {
  readonly retryBudget = new RetryBudget()
  readonly queues = new Map<string, RegionQueue>()
  private targets = new Map<string, TargetSpec>()
  private drained: ReadonlySet<string> = new Set()

  constructor (readonly name: string, private currentSpec: ServiceSpec, readonly chooser: TargetChooser) {}

  get spec (): ServiceSpec {
    return this.currentSpec
  }

  /** Applies the newest spec of the service; `availabilityZone` is the zone of this host. */
  applySpec (spec: ServiceSpec, availabilityZone: string, drainedTargets: ReadonlySet<string>, now: number): void {
    this.currentSpec = spec
    const ownTargets = spec.targets.filter((target) => target.availabilityZone === availabilityZone)
    this.targets = new Map(ownTargets.map((target) => [target.name, target]))
    this.chooser.adoptTargets(ownTargets, now)
    this.drained = drainedTargets
    for (const target of drainedTargets) this.chooser.markLeaving(target, true, now)
  }

  /** Updates which targets are leaving: drained targets, and those reported by the host list, the target itself or a peer. */
  observeLeaving (isLeaving: (target: string) => boolean, now: number): void {
    for (const target of this.targets.keys()) this.chooser.markLeaving(target, this.drained.has(target) || isLeaving(target), now)
  }

  /** Records the load report that a target sent. */
  observeReport (target: string, report: TargetReport, now: number): void {
    this.chooser.report(target, report, now)
  }

  /** Expected service time of a route, in milliseconds; undefined until one has been measured. */
  findCost (route: string): number | undefined {
    const [regionQueue] = this.queues.values()
    return regionQueue?.findCost(route)
  }

  /** Returns a target of this host's availability zone. */
  findTarget (name: string): TargetSpec | undefined {
    return this.targets.get(name)
  }

  isDrained (target: string): boolean {
    return this.drained.has(target)
  }

  listTargets (): TargetSpec[] {
    return [...this.targets.values()]
  }
}
