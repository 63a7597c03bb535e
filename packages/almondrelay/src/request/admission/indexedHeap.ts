/**
 * A binary heap, lowest priority value first, whose items can be moved and removed in
 * logarithmic time. Items of equal priority are taken in the order in which they were set.
 */
export class IndexedHeap<Item> {
  private readonly entries: Array<HeapEntry<Item>> = []
  private readonly positions = new Map<Item, number>()
  private sequence = 0

  get size (): number {
    return this.entries.length
  }

  has (item: Item): boolean {
    return this.positions.has(item)
  }

  /** Adds the item or moves it to a new priority. */
  set (item: Item, priority: number): void {
    const position = this.positions.get(item)
    this.sequence += 1
    if (position === undefined) {
      this.entries.push({ item, priority, sequence: this.sequence })
      this.moveUp(this.entries.length - 1)
      return
    }
    this.entries[position] = { item, priority, sequence: this.sequence }
    this.moveDown(this.moveUp(position))
  }

  find (): Item | undefined {
    return this.entries[0]?.item
  }

  findPriority (): number | undefined {
    return this.entries[0]?.priority
  }

  take (): Item | undefined {
    const item = this.find()
    if (item !== undefined) this.remove(item)
    return item
  }

  remove (item: Item): boolean {
    const position = this.positions.get(item)
    if (position === undefined) return false
    const last = this.entries.pop()
    this.positions.delete(item)
    if (last === undefined || last.item === item) return true
    this.entries[position] = last
    this.moveDown(this.moveUp(position))
    return true
  }

  private moveUp (from: number): number {
    const entry = this.entries[from] as HeapEntry<Item>
    let position = from
    while (position > 0) {
      const parent = (position - 1) >> 1
      const above = this.entries[parent] as HeapEntry<Item>
      if (!isBefore(entry, above)) break
      this.put(above, position)
      position = parent
    }
    this.put(entry, position)
    return position
  }

  private moveDown (from: number): void {
    const entry = this.entries[from] as HeapEntry<Item>
    let position = from
    for (;;) {
      const child = this.findLowerChild(position)
      const below = this.entries[child]
      if (below === undefined || !isBefore(below, entry)) break
      this.put(below, position)
      position = child
    }
    this.put(entry, position)
  }

  private findLowerChild (position: number): number {
    const left = 2 * position + 1
    const leftEntry = this.entries[left]
    const rightEntry = this.entries[left + 1]
    if (leftEntry !== undefined && rightEntry !== undefined && isBefore(rightEntry, leftEntry)) return left + 1
    return left
  }

  private put (entry: HeapEntry<Item>, position: number): void {
    this.entries[position] = entry
    this.positions.set(entry.item, position)
  }
}

interface HeapEntry<Item> {
  item: Item
  priority: number
  sequence: number
}

const isBefore = <Item>(one: HeapEntry<Item>, other: HeapEntry<Item>): boolean =>
  one.priority < other.priority || (one.priority === other.priority && one.sequence < other.sequence)
