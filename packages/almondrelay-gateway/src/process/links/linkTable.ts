import { MAX_TRACKED_TARGETS } from '../../request/maxTrackedTargets.js'
import { putBounded } from '../../request/putBounded.js'
import type { TargetState } from '../../request/targetState.js'
import type { LostLink } from './lostLink.js'

/** Lost links to targets of one availability zone, with no contact in the zone since, from which on the whole zone counts as lost. */
const MIN_LINKS_OF_ZONE = 2
/** Lost links, with no contact with any target since, from which on all zones count as lost, and the zones in which they must be. */
const MIN_LINKS_OF_ALL = 3
const MIN_ZONES_OF_ALL = 2
/** Milliseconds between two probes of a lost link. */
const PROBE_INTERVAL_MS = 250
/** Milliseconds after its recovery within which a link that is lost again must be up for longer before it is used, and that time's bounds. */
const FLAP_WINDOW_MS = 10_000
const MIN_FLAP_HOLD_MS = 500
const MAX_FLAP_HOLD_MS = 4_000

interface Recovery {
  at: number
  holdMs: number
}

/**
 * The links between this host and targets: which are lost, and which to probe. A link is lost if this host can't reach a target that
 * another host reaches. Zones count as lost by inference from a few links, so that a cut of many targets costs only a few requests.
 */
export class LinkTable {
  private readonly lostTargets = new Map<TargetState, LostLink>()
  private readonly lostZones = new Map<string, LostLink>()
  /** Targets whose links were lost since the last contact with any target. */
  private readonly lostSinceContact = new Set<TargetState>()
  private readonly zoneContacts = new Map<string, number>()
  private readonly recoveries = new Map<string, Recovery>()
  private probes = 0

  /** @param listTargets all known targets */
  constructor (private readonly listTargets: () => Iterable<TargetState>) {}

  isLost (target: TargetState): boolean {
    return this.lostTargets.has(target) || this.lostZones.has(target.entry.availabilityZone)
  }

  /** Returns the availability zones to whose targets no link is up. */
  listLostZones (): string[] {
    return [...this.lostZones.keys()]
  }

  /** Returns the number of targets with lost links in zones that aren't lost as a whole. */
  countLostTargets (): number {
    return this.lostTargets.size
  }

  /** Records that a target answered this host or accepted a connection. */
  observeContact (target: TargetState, now: number): void {
    this.lostSinceContact.clear()
    this.zoneContacts.set(target.entry.availabilityZone, now)
  }

  /** Records that the link to a target is lost. Returns the availability zones that count as lost from now on. */
  markLost (target: TargetState, now: number): string[] {
    if (this.isLost(target)) return []
    this.lostTargets.set(target, this.createLostLink(describeTarget(target), now))
    this.lostSinceContact.add(target)
    const zones = this.findLostZones(target.entry.availabilityZone)
    for (const zone of zones) this.markZoneLost(zone, now)
    return zones
  }

  /** Forgets a target that has left. */
  drop (target: TargetState): void {
    this.lostTargets.delete(target)
    this.lostSinceContact.delete(target)
  }

  /** Returns the targets that are to be probed now: one of each lost zone in turn, and those with lost links elsewhere. */
  takeProbes (now: number): TargetState[] {
    const takeIfDue = (link: LostLink): boolean => {
      if (now < link.nextProbeAt) return false
      link.nextProbeAt = now + PROBE_INTERVAL_MS
      return true
    }
    const targets = [...this.lostTargets].filter(([, link]) => takeIfDue(link)).map(([target]) => target)
    for (const [zone, link] of [...this.lostZones]) {
      const members = this.listZoneTargets(zone)
      if (members.length === 0) this.lostZones.delete(zone)
      else if (takeIfDue(link)) targets.push(members[this.probes++ % members.length] as TargetState)
    }
    return targets
  }

  /** Records the result of a probe. Returns the target or the availability zone whose link is in use again; undefined for none. */
  observeProbe (target: TargetState, isReached: boolean, now: number): { target?: TargetState, availabilityZone?: string } | undefined {
    const { availabilityZone } = target.entry
    const zoneLink = this.lostZones.get(availabilityZone)
    if (zoneLink !== undefined) {
      if (!hasRecovered(zoneLink, isReached, now)) return undefined
      this.lostZones.delete(availabilityZone)
      this.recordRecovery(availabilityZone, zoneLink, now)
      return { availabilityZone }
    }
    const link = this.lostTargets.get(target)
    if (link === undefined || !hasRecovered(link, isReached, now)) return undefined
    this.lostTargets.delete(target)
    this.recordRecovery(describeTarget(target), link, now)
    return { target }
  }

  private findLostZones (availabilityZone: string): string[] {
    const zones = new Set([...this.lostSinceContact].map(({ entry }) => entry.availabilityZone))
    if (this.lostSinceContact.size >= MIN_LINKS_OF_ALL && zones.size >= MIN_ZONES_OF_ALL) return this.listIntactZones()
    const zoneContact = this.zoneContacts.get(availabilityZone) ?? -Infinity
    const inZone = [...this.lostTargets].filter(([target, { lostAt }]) => target.entry.availabilityZone === availabilityZone && lostAt > zoneContact)
    return inZone.length >= Math.min(MIN_LINKS_OF_ZONE, this.listZoneTargets(availabilityZone).length) ? [availabilityZone] : []
  }

  private listIntactZones (): string[] {
    const zones = new Set([...this.listTargets()].map(({ entry }) => entry.availabilityZone))
    return [...zones].filter((zone) => !this.lostZones.has(zone))
  }

  private markZoneLost (availabilityZone: string, now: number): void {
    this.lostZones.set(availabilityZone, this.createLostLink(availabilityZone, now))
    for (const target of [...this.lostTargets.keys()]) if (target.entry.availabilityZone === availabilityZone) this.lostTargets.delete(target)
  }

  private listZoneTargets (availabilityZone: string): TargetState[] {
    return [...this.listTargets()].filter(({ entry }) => entry.availabilityZone === availabilityZone)
  }

  private createLostLink (name: string, now: number): LostLink {
    const recovery = this.recoveries.get(name)
    const isFlapping = recovery !== undefined && now - recovery.at <= FLAP_WINDOW_MS
    const holdMs = isFlapping ? Math.min(MAX_FLAP_HOLD_MS, Math.max(MIN_FLAP_HOLD_MS, 2 * recovery.holdMs)) : 0
    return { lostAt: now, holdMs, reachedSince: undefined, nextProbeAt: now + PROBE_INTERVAL_MS }
  }

  private recordRecovery (name: string, { holdMs }: LostLink, now: number): void {
    putBounded(this.recoveries, name, { at: now, holdMs }, MAX_TRACKED_TARGETS)
  }
}

const describeTarget = ({ entry }: TargetState): string => `target ${entry.id}`

const hasRecovered = (link: LostLink, isReached: boolean, now: number): boolean => {
  link.reachedSince = isReached ? link.reachedSince ?? now : undefined
  return link.reachedSince !== undefined && now - link.reachedSince >= link.holdMs
}
