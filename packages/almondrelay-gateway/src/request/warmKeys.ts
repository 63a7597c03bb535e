/** Number of objects that a target is assumed to remember; targets remember a bounded number and don't report it. */
const MAX_KEYS = 48

/** Hashes of the keys of the objects that this host recently had a target work on; the oldest is evicted first. */
export class WarmKeys {
  private readonly keys = new Set<number>()

  add (keyHash: number): void {
    this.keys.delete(keyHash)
    this.keys.add(keyHash)
    if (this.keys.size <= MAX_KEYS) return
    const [oldest] = this.keys
    if (oldest !== undefined) this.keys.delete(oldest)
  }

  has (keyHash: number): boolean {
    return this.keys.has(keyHash)
  }
}
