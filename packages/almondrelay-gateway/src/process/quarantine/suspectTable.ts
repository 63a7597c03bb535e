import { RequestFingerprint } from './requestFingerprint.js'
import { Suspect } from './suspect.js'

/** Requests that are remembered, of all organisations. */
const MOST_SUSPECTS = 2_000
/** Milliseconds without news or call after which a request is forgotten; longer than its record in the store stands. */
const FORGET_MS = 900_000

/**
 * The requests under which targets ended, as this host knows them. It is bounded; a full one forgets the oldest of the organisation that
 * has the most, so that nobody pushes another organisation's out.
 */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>()
  private readonly organisations = new Map<string, Set<Suspect>>()
  /** How many have each prefix of a fingerprint: bodies of requests that can't be among them are never read. */
  private readonly prefixes = new Map<string, number>()

  /** The suspect that a request is; undefined for nearly all requests, at next to no cost. */
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

  /** The suspect of this fingerprint, a new one where there was none. */
  touch (fingerprint: string, organisation: string, now: number): Suspect {
    const suspect = this.suspects.get(fingerprint) ?? this.add(new Suspect(fingerprint, organisation), now)
    suspect.touchedAt = now
    return suspect
  }

  /** Forgets what has been of no use for long. */
  expire (now: number): void {
    for (const suspect of this.list()) {
      if (now - suspect.touchedAt > FORGET_MS) this.remove(suspect)
    }
  }

  private add (suspect: Suspect, now: number): Suspect {
    this.expire(now)
    if (this.suspects.size >= MOST_SUSPECTS) this.remove(this.findLeast())
    const { fingerprint, organisation } = suspect
    const prefix = RequestFingerprint.getPrefix(fingerprint)
    this.suspects.set(fingerprint, suspect)
    this.prefixes.set(prefix, (this.prefixes.get(prefix) ?? 0) + 1)
    const ofOrganisation = this.organisations.get(organisation) ?? new Set()
    this.organisations.set(organisation, ofOrganisation.add(suspect))
    return suspect
  }

  private remove (suspect: Suspect): void {
    const { fingerprint, organisation } = suspect
    const prefix = RequestFingerprint.getPrefix(fingerprint)
    const left = (this.prefixes.get(prefix) ?? 0) - 1
    if (left > 0) this.prefixes.set(prefix, left)
    else this.prefixes.delete(prefix)
    this.suspects.delete(fingerprint)
    const ofOrganisation = this.organisations.get(organisation)
    ofOrganisation?.delete(suspect)
    if (ofOrganisation?.size === 0) this.organisations.delete(organisation)
  }

  /** Of the organisation with the most: the oldest that isn't quarantined, or the oldest. */
  private findLeast (): Suspect {
    const most = [...this.organisations.values()].reduce((one, other) => other.size > one.size ? other : one)
    const byAge = [...most].sort((one, other) => one.touchedAt - other.touchedAt)
    return byAge.find(({ isQuarantined }) => !isQuarantined) ?? byAge[0] as Suspect
  }
}
