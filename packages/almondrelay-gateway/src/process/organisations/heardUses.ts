import { putBounded } from '../../request/putBounded.js'
import type { HeardUse } from './heardUse.js'
import { SILENCE_MS } from './silenceMs.js'
import type { ZoneUse } from './zoneUse.js'

/** Maximum senders kept. A zone has two aggregators at a time, and other hosts replace them when they exit. */
const MOST_SENDERS = 8

interface Word {
  heardAt: number
  use: ZoneUse
}

/**
 * The last snapshots from the aggregators of a zone. A zone has two of them, so that there is no gap when one exits or hangs. The
 * snapshot with the least unseen time is used, because an aggregator that has just started has missed earlier reports. If several have
 * the same unseen time, the larger count is used for each organisation, as each may have missed requests whose datagrams were lost.
 */
export class HeardUses {
  private readonly words = new Map<string, Word>()

  /** Stores a snapshot as the last one of its sender. */
  hear (sender: string, use: ZoneUse, now: number): void {
    putBounded(this.words, sender, { heardAt: now, use }, MOST_SENDERS)
  }

  /** Returns the last known usage; undefined if no snapshot was received within SILENCE_MS. */
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
