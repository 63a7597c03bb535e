import { RequestFingerprint } from './requestFingerprint.js'
import { Suspect } from './suspect.js'

/** Maximum number of suspects of all organisations. */
const MAX_SUSPECTS = 2_000
/** Milliseconds without a report or call after which a suspect is dropped; longer than the lease of its record in the store. */
const RETENTION_MS = 900_000

/**
 * Suspects that this host knows. The table is bounded: a full one evicts an old suspect of the organisation that has the most, so that no
 * organisation can evict the suspects of another one.
 */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>()
  private readonly organisations = new Map<string, Set<Suspect>>()
  /** Number of suspects by fingerprint prefix. The bodies of requests whose prefix is missing here are never hashed. */
  private readonly prefixes = new Map<string, number>()

  /** Returns the suspect that a request matches; undefined for nearly all requests, at almost no cost. */
  match (fingerprint: RequestFingerprint): Suspect | undefined {
    if (this.suspects.size === 0 || !this.prefixes.has(fingerprint.prefix)) return undefined
    return this.suspects.get(fingerprint.text)
  }

  find (fingerprint: string): Suspect | undefined {
    return this.suspects.get(fingerprint)
  }

  list (): Suspect[] {
    return [...this.suspects.values()]
  }

  /** Returns the suspect with this fingerprint, creating it if necessary, and updates the time of its last use. */
  touch (fingerprint: string, organisation: string, now: number): Suspect {
    const suspect = this.suspects.get(fingerprint) ?? this.add(new Suspect(fingerprint, organisation), now)
    suspect.touchedAt = now
    return suspect
  }

  /** Drops the suspects that have not been used within the retention period. */
  expire (now: number): void {
    for (const suspect of this.list()) {
      if (now - suspect.touchedAt > RETENTION_MS) this.remove(suspect)
    }
  }

  private add (suspect: Suspect, now: number): Suspect {
    this.expire(now)
    if (this.suspects.size >= MAX_SUSPECTS) this.remove(this.findEvictionCandidate())
    const { fingerprint, organisation } = suspect
    const prefix = RequestFingerprint.getPrefix(fingerprint)
    this.suspects.set(fingerprint, suspect)
    this.prefixes.set(prefix, (this.prefixes.get(prefix) ?? 0) + 1)
    const organisationSuspects = this.organisations.get(organisation) ?? new Set()
    this.organisations.set(organisation, organisationSuspects.add(suspect))
    return suspect
  }

  private remove (suspect: Suspect): void {
    const { fingerprint, organisation } = suspect
    const prefix = RequestFingerprint.getPrefix(fingerprint)
    const left = (this.prefixes.get(prefix) ?? 0) - 1
    if (left > 0) this.prefixes.set(prefix, left)
    else this.prefixes.delete(prefix)
    this.suspects.delete(fingerprint)
    const organisationSuspects = this.organisations.get(organisation)
    organisationSuspects?.delete(suspect)
    if (organisationSuspects?.size === 0) this.organisations.delete(organisation)
  }

  /** Returns the least recently used suspect of the organisation with the most suspects; those not quarantined go first. */
  private findEvictionCandidate (): Suspect {
    const largest = [...this.organisations.values()].reduce((one, other) => other.size > one.size ? other : one)
    const byAge = [...largest].sort((one, other) => one.touchedAt - other.touchedAt)
    return byAge.find(({ isQuarantined }) => !isQuarantined) ?? byAge[0] as Suspect
  }
}
