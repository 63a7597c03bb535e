interface TimedEvent {
  at: number
  /** Order of events of the same time. */
  sequence: number
  run: () => void
}

/** Events in virtual time, in milliseconds, in a binary heap. */
export class EventQueue {
  now = 0
  private readonly heap: TimedEvent[] = []
  private sequence = 0

  push (at: number, run: () => void): void {
    this.sequence += 1
    this.heap.push({ at: Math.max(at, this.now), sequence: this.sequence, run })
    this.moveUp(this.heap.length - 1)
  }

  /** Carries out everything that is due up to a time. */
  runUntil (end: number): void {
    for (let first = this.heap[0]; first !== undefined && first.at <= end; first = this.heap[0]) {
      this.removeFirst()
      this.now = first.at
      first.run()
    }
    this.now = end
  }

  private removeFirst (): void {
    const last = this.heap.pop()
    if (last === undefined || this.heap.length === 0) return
    this.heap[0] = last
    this.moveDown(0)
  }

  private moveUp (index: number): void {
    const parent = (index - 1) >> 1
    if (index === 0 || this.isBefore(parent, index)) return
    this.exchange(parent, index)
    this.moveUp(parent)
  }

  private moveDown (index: number): void {
    const [left, right] = [2 * index + 1, 2 * index + 2]
    if (left >= this.heap.length) return
    const child = right < this.heap.length && this.isBefore(right, left) ? right : left
    if (this.isBefore(index, child)) return
    this.exchange(index, child)
    this.moveDown(child)
  }

  private isBefore (one: number, other: number): boolean {
    const [first, second] = [this.heap[one] as TimedEvent, this.heap[other] as TimedEvent]
    return first.at < second.at || (first.at === second.at && first.sequence < second.sequence)
  }

  private exchange (one: number, other: number): void {
    const kept = this.heap[one] as TimedEvent
    this.heap[one] = this.heap[other] as TimedEvent
    this.heap[other] = kept
  }
}
