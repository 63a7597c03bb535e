import type { Credit } from './credit.js'
import type { TargetSlots } from './targetSlots.js'

interface LedgerEntry {
  slots: TargetSlots
  expiresAt: number
}

/**
 * Credits that this host has granted. A credit occupies a slot until it is used, returned or expires on
 * the grantor's own clock, and can be used only once. A repeated or late use finds no credit and is refused;
 * the refusal is definitive, because only the grantor would have run the request.
 */
export class CreditLedger {
  /** In order of expiry, since all credits have the same term. */
  private readonly entries = new Map<string, LedgerEntry>()
  private sequence = 0

  /** `prefix` makes the credit ids unique across processes. */
  constructor (private readonly prefix: string, private readonly termMs: number) {}

  grant (slots: TargetSlots, now: number): Credit {
    this.sequence += 1
    const credit = { id: `${this.prefix};${this.sequence}`, target: slots.target, expiresAt: now + this.termMs }
    this.entries.set(credit.id, { slots, expiresAt: credit.expiresAt })
    slots.credits += 1
    return credit
  }

  /** Removes the credit and returns its target's slots; undefined when the credit has expired, was used or was never granted here. */
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
