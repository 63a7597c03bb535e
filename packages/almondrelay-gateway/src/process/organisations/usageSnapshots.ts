import { putBounded } from '../../request/putBounded.js'
import type { UsageSnapshot } from './usageSnapshot.js'
import { SILENCE_MS } from './silenceMs.js'
import type { ZoneUsage } from './zoneUsage.js'

/** Maximum senders kept. A zone has two aggregators at a time, and other hosts replace them when they exit. */
const MAX_SENDERS = 8

interface ReceivedUsage {
  receivedAt: number
  use: ZoneUsage
}

/**
 * The last snapshots from the aggregators of a zone. A zone has two of them, so that there is no gap when one exits or hangs. The
 * snapshot with the least unseen time is used, because an aggregator that has just started has missed earlier reports. If several have
 * the same unseen time, the larger count is used for each organisation, as each may have missed requests whose datagrams were lost.
 */
export class UsageSnapshots {
  private readonly lastReceived = new Map<string, ReceivedUsage>()

  /** Stores a snapshot as the last one of its sender. */
  receive (sender: string, use: ZoneUsage, now: number): void {
    putBounded(this.lastReceived, sender, { receivedAt: now, use }, MAX_SENDERS)
  }

  /** Returns the last known usage; undefined if no snapshot was received within SILENCE_MS. */
  find (now: number): UsageSnapshot | undefined {
    const fresh = [...this.lastReceived.values()].filter(({ receivedAt }) => now - receivedAt <= SILENCE_MS)
    const unseenMs = Math.min(...fresh.map(({ use }) => use.unseenMs))
    const [latest, ...others] = fresh.filter(({ use }) => use.unseenMs === unseenMs).sort((one, other) => other.receivedAt - one.receivedAt)
    if (latest === undefined) return undefined
    return { use: others.reduce((use, other) => takeLargerCounts(use, other.use), latest.use), ageMs: now - latest.receivedAt }
  }
}

const takeLargerCounts = (latest: ZoneUsage, other: ZoneUsage): ZoneUsage => {
  const usageByOrganisation = new Map(latest.usageByOrganisation)
  for (const [organisation, use] of other.usageByOrganisation) {
    const known = usageByOrganisation.get(organisation)
    if (known === undefined || known.letThrough < use.letThrough) usageByOrganisation.set(organisation, { ...use, askedPerSecond: known?.askedPerSecond ?? use.askedPerSecond })
  }
  return { hosts: Math.max(latest.hosts, other.hosts), unseenMs: latest.unseenMs, usageByOrganisation }
}
