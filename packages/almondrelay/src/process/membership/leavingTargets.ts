import { NewsBoard } from './newsBoard.js'

/** Report that a target takes no new work, or takes it again. */
interface LeavingTarget {
  service: string
  target: string
  isLeaving: boolean
  /** Age of this report when it was sent, in milliseconds. */
  ageMs: number
}

interface Entry {
  service: string
  target: string
  isLeaving: boolean
  saidAt: number
}

/** A report expires at this age unless it is repeated; by then a target that has left is no longer in its Service. */
const FORGET_AFTER_MS = 600_000

/** Targets that are leaving, by their own report or by that of another source; the latest report of each applies. */
export class LeavingTargets {
  readonly news = new NewsBoard()
  private readonly entries = new Map<string, Entry>()

  /** Records a report from a target itself, from the host list or from a peer. Returns whether it changed the state of the target. */
  observe (word: LeavingTarget, now: number): boolean {
    const key = `${word.service}/${word.target}`
    const known = this.entries.get(key)
    const saidAt = now - word.ageMs
    if (word.ageMs > FORGET_AFTER_MS || (known !== undefined && known.saidAt >= saidAt)) return false
    const isChange = (known?.isLeaving ?? false) !== word.isLeaving
    this.entries.set(key, { service: word.service, target: word.target, isLeaving: word.isLeaving, saidAt })
    if (isChange) this.news.mark(key)
    return isChange
  }

  isLeaving (service: string, target: string): boolean {
    return this.entries.get(`${service}/${target}`)?.isLeaving ?? false
  }

  getWord (key: string, now: number): LeavingTarget | undefined {
    const entry = this.entries.get(key)
    if (entry === undefined) return undefined
    return { service: entry.service, target: entry.target, isLeaving: entry.isLeaving, ageMs: Math.round(Math.max(0, now - entry.saidAt)) }
  }

  expire (now: number): void {
    for (const [key, entry] of this.entries) {
      if (now - entry.saidAt <= FORGET_AFTER_MS) continue
      this.entries.delete(key)
      this.news.remove(key)
    }
  }
}
