import type { Credit } from './credit.js'
import type { TargetSlots } from './targetSlots.js'

interface LedgerEntry {
  slots: TargetSlots
  expiresAt: number
}

/**
 * Credits that this host has granted. A credit takes up a slot until it is used, returned or lapses on
 * the grantor's own clock, and is good once: a repeated or late use finds nothing and is refused, which
 * is truthful because the grantor is the one that would run it.
 */
export class CreditLedger {
  /** In order of expiry, since all have one term. */
  private readonly entries = new Map<string, LedgerEntry>()
  private sequence = 0

  /** `prefix` keeps the ids of one process apart from those of all others. */
  constructor (private readonly prefix: string, private readonly termMs: number) {}

  grant (slots: TargetSlots, now: number): Credit {
    this.sequence += 1
    const credit = { id: `${this.prefix};${this.sequence}`, target: slots.target, expiresAt: now + this.termMs }
    this.entries.set(credit.id, { slots, expiresAt: credit.expiresAt })
    slots.credits += 1
    return credit
  }

  /** Takes the credit out; undefined when it has lapsed, was used or was never granted here. */
  take (id: string, now: number): TargetSlots | undefined {
    this.expire(now)
    const entry = this.entries.get(id)
    if (entry === undefined) return undefined
    this.entries.delete(id)
    entry.slots.credits -= 1
    return entry.slots
  }

  expire (now: number): void {
    for (const [id, entry] of this.entries) {
      if (now < entry.expiresAt) return
      this.entries.delete(id)
      entry.slots.credits -= 1
    }
  }
}
