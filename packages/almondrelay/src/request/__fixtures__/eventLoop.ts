import { IndexedHeap } from '../admission/indexedHeap.js'

type Event = () => void

/** Event loop in virtual time: runs events in the order of their times. */
export class EventLoop {
  now = 0
  private readonly events = new IndexedHeap<Event>()

  schedule (at: number, event: Event): Event {
    const runEvent = (): void => event()
    this.events.set(runEvent, Math.max(this.now, at))
    return runEvent
  }

  cancel (event: Event): void {
    this.events.remove(event)
  }

  run (until: number): void {
    while ((this.events.findPriority() ?? Infinity) <= until) {
      this.now = this.events.findPriority() ?? this.now
      this.events.take()?.()
    }
    this.now = until
  }
}
