import { putBounded } from '../../request/putBounded.js'

/** Milliseconds for which a removal is remembered: longer than a copy of the store is old when the store returns from it. */
const RETENTION_MS = 60_000
/** Maximum number of removals kept. */
const MAX_REMOVALS = 20_000

/** Subjects that the store has removed lately. */
export class RecentRemovals {
  private readonly removedAt = new Map<string, number>()

  add (subject: string, now: number): void {
    putBounded(this.removedAt, subject, now, MAX_REMOVALS)
  }

  has (subject: string, now: number): boolean {
    const at = this.removedAt.get(subject)
    return at !== undefined && now - at <= RETENTION_MS
  }
}
