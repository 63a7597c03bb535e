/** Objects that a target is taken to remember; targets remember a bounded number, and do not say how many. */
const MOST_KEYS = 48

/** Objects on which this host had a target work lately, by the hash of their keys; the oldest is forgotten first. */
export class WarmKeys {
  private readonly keys = new Set<number>()

  add (keyHash: number): void {
    this.keys.delete(keyHash)
    this.keys.add(keyHash)
    if (this.keys.size <= MOST_KEYS) return
    const [oldest] = this.keys
    if (oldest !== undefined) this.keys.delete(oldest)
  }

  has (keyHash: number): boolean {
    return this.keys.has(keyHash)
  }
}
