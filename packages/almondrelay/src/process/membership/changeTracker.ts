interface ChangedKeys {
  keys: string[]
  /** Position to pass as `after` once the reader has received these keys. */
  upTo: number
}

/** Changed keys in order of change; each key appears once, at its latest change. */
export class ChangeTracker {
  private counter = 0
  /** Insertion order is the order of change, as a key is deleted before it is set again. */
  private readonly changed = new Map<string, number>()

  get latest (): number {
    return this.counter
  }

  mark (key: string): void {
    this.counter += 1
    this.changed.delete(key)
    this.changed.set(key, this.counter)
  }

  remove (key: string): void {
    this.changed.delete(key)
  }

  listAfter (after: number, max: number): ChangedKeys {
    if (after >= this.counter) return { keys: [], upTo: this.counter }
    const keys: string[] = []
    let upTo = after
    for (const [key, number] of this.changed) {
      if (number <= after) continue
      if (keys.length === max) return { keys, upTo }
      keys.push(key)
      upTo = number
    }
    return { keys, upTo: this.counter }
  }
}
