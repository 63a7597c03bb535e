import { putBounded } from '../../request/putBounded.js'
import type { HeardUse } from './heardUse.js'
import { SILENCE_MS } from './silenceMs.js'
import type { ZoneUse } from './zoneUse.js'

/** Senders that are remembered: two sum up for a zone, and others follow them when they end. */
const MOST_SENDERS = 8

interface Word {
  heardAt: number
  use: ZoneUse
}

/**
 * The last words of those that sum up for a zone. Two do, so that one that ends or stands still leaves no gap; the word of the
 * one that has listened longer counts, as one that was just started has missed what came before. Of two that have listened for
 * as long, what the one missed as its datagram was lost stands in the other's word: of each organisation the larger count is taken.
 */
export class HeardUses {
  private readonly words = new Map<string, Word>()

  hear (sender: string, use: ZoneUse, now: number): void {
    putBounded(this.words, sender, { heardAt: now, use }, MOST_SENDERS)
  }

  find (now: number): HeardUse | undefined {
    const fresh = [...this.words.values()].filter(({ heardAt }) => now - heardAt <= SILENCE_MS)
    const unseenMs = Math.min(...fresh.map(({ use }) => use.unseenMs))
    const [latest, ...others] = fresh.filter(({ use }) => use.unseenMs === unseenMs).sort((one, other) => other.heardAt - one.heardAt)
    if (latest === undefined) return undefined
    return { use: others.reduce((use, other) => takeLarger(use, other.use), latest.use), ageMs: now - latest.heardAt }
  }
}

const takeLarger = (latest: ZoneUse, other: ZoneUse): ZoneUse => {
  const uses = new Map(latest.uses)
  for (const [organisation, use] of other.uses) {
    const known = uses.get(organisation)
    if (known === undefined || known.letThrough < use.letThrough) uses.set(organisation, { ...use, askedPerSecond: known?.askedPerSecond ?? use.askedPerSecond })
  }
  return { hosts: Math.max(latest.hosts, other.hosts), unseenMs: latest.unseenMs, uses }
}
