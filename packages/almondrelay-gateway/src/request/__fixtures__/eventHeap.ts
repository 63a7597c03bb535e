/** Events in the order of their time: a binary heap. */
export class EventHeap {
  private readonly items: Array<{ at: number, run: () => void }> = []

  get nextAt (): number {
    return this.items[0]?.at ?? Infinity
  }

  push (at: number, run: () => void): void {
    this.items.push({ at, run })
    for (let index = this.items.length - 1; index > 0;) {
      const parent = (index - 1) >> 1
      if (this.findTime(parent) <= this.findTime(index)) return
      this.move(index, parent)
      index = parent
    }
  }

  take (): () => void {
    const [first] = this.items
    const last = this.items.pop()
    if (first === undefined || last === undefined) return () => undefined
    if (this.items.length > 0) this.items[0] = last
    for (let index = 0; ;) {
      const left = 2 * index + 1
      const child = this.findTime(left + 1) < this.findTime(left) ? left + 1 : left
      if (this.findTime(child) >= this.findTime(index)) return first.run
      this.move(index, child)
      index = child
    }
  }

  private findTime (index: number): number {
    return this.items[index]?.at ?? Infinity
  }

  private move (first: number, second: number): void {
    const [one, other] = [this.items[first], this.items[second]]
    if (one === undefined || other === undefined) return
    this.items[first] = other
    this.items[second] = one
  }
}
