import type { FakeRequest } from './fakeRequest.js'
import type { FakeTarget } from './fakeTarget.js'
import { ServingHost } from './servingHost.js'

const MAX_QUEUED = 256

/** Baseline for comparison: a bounded first-in first-out queue and round robin over all free slots. */
export class PlainHost extends ServingHost {
  private readonly waiting: FakeRequest[] = []
  private lastIndex = 0

  offer (request: FakeRequest): void {
    if (this.waiting.length >= MAX_QUEUED) {
      this.emit(request, { kind: 'refused', retryAfterMs: undefined })
      return
    }
    this.waiting.push(request)
    this.startWaiting()
  }

  protected handleEnd (): void {
    this.startWaiting()
  }

  private startWaiting (): void {
    while (this.waiting.length > 0) {
      const target = this.findFree()
      if (target === undefined) return
      this.run(this.waiting.shift() as FakeRequest, target)
    }
  }

  private findFree (): FakeTarget | undefined {
    const targets = [...this.targets.values()]
    for (let step = 0; step < targets.length; step += 1) {
      this.lastIndex = (this.lastIndex + 1) % targets.length
      const target = targets[this.lastIndex]
      if (target !== undefined && target.free > 0) return target
    }
    return undefined
  }
}
