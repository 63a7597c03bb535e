import { AdmissionQueue } from '../admission/admissionQueue.js'
import type { AdmissionRefusal } from '../admission/admissionRefusal.js'
import { TargetChooser } from '../choice/targetChooser.js'
import type { Random } from '../random.js'
import type { EventLoop } from './eventLoop.js'
import type { FakeRequest } from './fakeRequest.js'
import type { FakeTarget } from './fakeTarget.js'
import { ServingHost } from './servingHost.js'

/** A simulated host with the decision modules, connected in the same way as in the daemon. */
export class DecisionHost extends ServingHost {
  readonly queue: AdmissionQueue
  readonly chooser = new TargetChooser()
  private readonly free = new Map<string, number>()
  private checkAt = Infinity
  private check: (() => void) | undefined

  constructor (loop: EventLoop, targets: readonly FakeTarget[], private readonly random: Random) {
    super(loop, targets)
    this.queue = new AdmissionQueue({}, random)
    const specs = targets.map(({ name, slots }) => ({ name, slots, address: '127.0.0.1:1', availabilityZone: 'z', connections: 360 }))
    this.chooser.adoptTargets(specs, loop.now)
    targets.forEach((target) => this.free.set(target.name, target.slots))
  }

  offer (request: FakeRequest): void {
    const now = this.loop.now
    const choice = this.chooser.choose(this.free, this.noExclusions, now, this.random)
    const decision = this.queue.offer(request, choice === undefined ? 0 : 1, this.chooser.capacity, now)
    if (decision.kind === 'refuse') this.emit(request, { kind: 'refused', retryAfterMs: decision.retryAfterMs })
    if (decision.kind === 'wait') this.refuse(decision.displaced)
    if (decision.kind === 'start' && choice !== undefined) this.begin(request, choice.target)
    this.scheduleCheck()
  }

  protected handleEnd (request: FakeRequest, target: FakeTarget, heldMs: number, answered: boolean): void {
    const now = this.loop.now
    this.free.set(target.name, target.free)
    this.chooser.finish(target.name, { latencyMs: heldMs, ok: answered, cancelled: !answered }, now)
    this.queue.finish(request, answered ? heldMs : undefined, now)
    this.startWaiting()
  }

  private startWaiting (): void {
    const now = this.loop.now
    this.refuse(this.queue.take(0, this.chooser.capacity, now).refuse)
    while (this.queue.waiting > 0) {
      const choice = this.chooser.choose(this.free, this.noExclusions, now, this.random)
      if (choice === undefined) break
      const batch = this.queue.take(1, this.chooser.capacity, now)
      this.refuse(batch.refuse)
      const next = batch.start[0]
      if (next === undefined) break
      this.begin(next as FakeRequest, choice.target)
    }
    this.scheduleCheck()
  }

  private begin (request: FakeRequest, name: string): void {
    const target = this.targets.get(name) as FakeTarget
    this.chooser.start(name, this.loop.now, this.queue.findCost(request.route))
    this.run(request, target)
    this.free.set(name, target.free)
  }

  private refuse (refusals: readonly AdmissionRefusal[]): void {
    refusals.forEach(({ request, retryAfterMs }) => this.emit(request as FakeRequest, { kind: 'refused', retryAfterMs }))
  }

  private scheduleCheck (): void {
    const at = this.queue.computeNextCheckAt(this.loop.now)
    if (at === undefined || at >= this.checkAt) return
    if (this.check !== undefined) this.loop.cancel(this.check)
    this.checkAt = at + 1
    this.check = this.loop.schedule(this.checkAt, () => {
      this.checkAt = Infinity
      this.startWaiting()
    })
  }
}
