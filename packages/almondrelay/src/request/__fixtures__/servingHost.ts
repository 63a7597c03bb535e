import type { EventLoop } from './eventLoop.js'
import type { FakeOutcome } from './fakeOutcome.js'
import type { FakeRequest } from './fakeRequest.js'
import type { FakeTarget } from './fakeTarget.js'

type Listener = (request: FakeRequest, outcome: FakeOutcome, now: number) => void

/** An entry host with the targets of one service; runs the requests that its subclass chooses. */
export abstract class ServingHost {
  readonly targets = new Map<string, FakeTarget>()
  protected readonly noExclusions: ReadonlySet<string> = new Set()
  private listener: Listener = () => {}

  constructor (protected readonly loop: EventLoop, targets: readonly FakeTarget[]) {
    targets.forEach((target) => this.targets.set(target.name, target))
  }

  subscribe (listener: Listener): void {
    this.listener = listener
  }

  abstract offer (request: FakeRequest): void
  protected abstract handleEnd (request: FakeRequest, target: FakeTarget, heldMs: number, answered: boolean): void

  protected emit (request: FakeRequest, outcome: FakeOutcome): void {
    this.listener(request, outcome, this.loop.now)
  }

  /** Runs a request on a target; it is cancelled at its deadline, which frees the slot. */
  protected run (request: FakeRequest, target: FakeTarget): void {
    const startedAt = this.loop.now
    const endsAt = startedAt + target.computeServiceTime(request.workMs)
    const isInTime = endsAt <= request.deadlineAt
    target.start()
    this.loop.schedule(isInTime ? endsAt : Math.max(startedAt, request.deadlineAt), () => {
      target.finish()
      if (isInTime) target.countAnswer()
      this.emit(request, { kind: isInTime ? 'answered' : 'late' })
      this.handleEnd(request, target, this.loop.now - startedAt, isInTime)
    })
  }
}
