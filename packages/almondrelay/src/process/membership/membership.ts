import { checkSender } from './checkSender.js'
import { chooseWatchers } from './chooseWatchers.js'
import { describeMember } from './describeMember.js'
import { describeSelf } from './describeSelf.js'
import { describeSummary } from './describeSummary.js'
import { GoneEvidence } from './goneEvidence.js'
import { HeartbeatVerdict } from './heartbeatVerdict.js'
import type { HeartbeatSender } from './heartbeatSender.js'
import { isRefusalEvidence } from './isRefusalEvidence.js'
import type { ListedHost } from './listedHost.js'
import { listTries } from './listTries.js'
import { makeMemberEntry } from './makeMemberEntry.js'
import type { Member } from './member.js'
import type { MemberEntry } from './memberEntry.js'
import type { MembershipEvent } from './membershipEvent.js'
import type { MembershipOptions } from './membershipOptions.js'
import type { Neighbour } from './neighbour.js'
import { NewsBoard } from './newsBoard.js'
import { planNeighbours } from './planNeighbours.js'
import { SilenceRule } from './silenceRule.js'
import type { ServiceLoad } from './serviceLoad.js'
import type { Summary } from './summary.js'

/**
 * Age at which word of a host is dropped. It frees nothing; it bounds memory and keeps old word
 * from bringing back a host whose end is already forgotten.
 */
const FORGET_AFTER_MS = 3_600_000

/** Silence is judged anew this often, so that asking of one member for each request costs little. */
const JUDGE_EVERY_MS = 50

/** Two words of a host whose times differ by less are of the same heartbeat, told along two ways. */
const SAME_WORD_MS = 200

/**
 * The entry hosts that are known, and what is known of each.
 *
 * Suspicion and evidence stand apart. Silence makes a host suspected: it gets no new work, and
 * nothing that it holds is freed, because a process that is paused, slow or cut off is silent too
 * and wakes later. Only evidence makes an incarnation gone, and gone is never taken back: its
 * address refuses connections, a newer incarnation speaks, or it said that it has left.
 */
export class Membership {
  private readonly entries = new Map<string, MemberEntry>()
  private readonly listeners = new Set<(event: MembershipEvent) => void>()
  private readonly silence: SilenceRule
  private judged: { at: number, news: number, silent: ReadonlySet<string> } | undefined
  readonly news = new NewsBoard()

  constructor (private readonly options: MembershipOptions) {
    this.silence = new SilenceRule(options.suspectAfterMs, options.heartbeatMs)
    this.store({ ...makeMemberEntry({ ...options.self, isLeaving: false }), incarnation: options.self.incarnation })
  }

  subscribe (listener: (event: MembershipEvent) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Takes a host that the settings name; it is never forgotten. */
  addSeed (seed: ListedHost): void {
    this.observeListed(seed, Infinity)
  }

  /** Takes a host from the platform's list, which lags: it adds, and takes nothing away. */
  observeListed (listed: ListedHost, now: number): void {
    if (listed.host === this.options.self.host) return
    const entry = this.entries.get(listed.host)
    if (entry === undefined) {
      this.entries.set(listed.host, { ...makeMemberEntry(listed), listedAt: now })
      return
    }
    entry.listedAt = Math.max(entry.listedAt, now)
    entry.isListedLeaving = listed.isLeaving
    if (entry.heardAt === -Infinity || entry.isGone) Object.assign(entry, { callerAddress: listed.callerAddress, peerAddress: listed.peerAddress })
  }

  /** A host speaks to this one; refuses one that is not what it says. `told` is its word of itself. */
  observeHeartbeat (sender: HeartbeatSender, told: Summary | undefined, now: number): HeartbeatVerdict {
    const entry = this.entries.get(sender.host)
    const verdict = checkSender(sender, told, entry, this.options.self.host)
    if (verdict !== HeartbeatVerdict.accepted) return verdict
    const addresses = { callerAddress: told?.callerAddress ?? '', peerAddress: told?.peerAddress ?? '' }
    const known = entry !== undefined && entry.incarnation === sender.incarnation ? entry : this.adoptIncarnation({ ...sender, ...addresses })
    if (told !== undefined) this.mergeSummary(known, told)
    known.revision = Math.max(known.revision, sender.revision)
    this.touchDirect(known, now)
    return HeartbeatVerdict.accepted
  }

  /** A heartbeat to the host was not answered. A hint, no more: see `listMembers`. */
  observeSilence (host: string, now: number): void {
    const entry = this.entries.get(host)
    if (entry === undefined) return
    entry.triedAt = now
    entry.failures += 1
    entry.failedSince = Math.min(entry.failedSince, now)
  }

  /** A heartbeat that this host sent was answered. */
  observeAnswered (host: string): void {
    const entry = this.entries.get(host)
    if (entry !== undefined) Object.assign(entry, { failures: 0, failedSince: Infinity })
  }

  /** The address refused a connection that was begun while `incarnation` was the host's latest. */
  observeRefused (host: string, incarnation: number, peerAddress: string, now: number): void {
    const entry = this.entries.get(host)
    if (entry === undefined) return
    entry.triedAt = now
    if (isRefusalEvidence(entry, { incarnation, peerAddress, ownZone: this.options.self.availabilityZone })) this.markGone(entry, GoneEvidence.refused)
  }

  /** Word of a host from another one. */
  observeSummary (summary: Summary, now: number): void {
    if (summary.host === this.options.self.host || summary.incarnation === 0 || summary.ageMs > FORGET_AFTER_MS) return
    const entry = this.entries.get(summary.host)
    if (entry !== undefined && entry.incarnation > summary.incarnation) return
    const known = entry !== undefined && entry.incarnation === summary.incarnation ? entry : this.adoptIncarnation(summary)
    this.mergeSummary(known, summary)
    const heardAt = now - summary.ageMs
    if (heardAt < known.heardAt - SAME_WORD_MS) return
    const isNewer = heardAt > known.heardAt + SAME_WORD_MS
    if (isNewer) Object.assign(known, { heardAt, loads: summary.loads })
    const isSilent = summary.isSilent || (known.isSilent && !isNewer)
    if (known.isSilent === isSilent) return
    known.isSilent = isSilent
    this.announce(known)
  }

  /** What this host says of itself from now on. */
  updateSelf (word: { revision?: number, loads?: ServiceLoad[], isLeaving?: boolean, isGone?: boolean }): void {
    const self = this.require(this.options.self.host)
    const isNews = (word.isLeaving ?? self.isLeaving) !== self.isLeaving || (word.isGone ?? self.isGone) !== self.isGone
    Object.assign(self, word)
    if (isNews) this.announce(self)
  }

  /** Every host that is known, this one among them. */
  listMembers (now: number): Member[] {
    const silent = this.listSilent(now)
    return [...this.entries.values()].map((entry) => this.describeMember(entry, silent, now))
  }

  getMember (host: string, now: number): Member | undefined {
    const entry = this.entries.get(host)
    return entry === undefined ? undefined : this.describeMember(entry, this.listSilent(now), now)
  }

  /** The revision of a host as last heard; 0 where it isn't known. */
  getRevision (host: string): number {
    return this.entries.get(host)?.revision ?? 0
  }

  /** The two hosts of a zone that watch the platform: the first by name among the live. */
  chooseWatchers (availabilityZone: string, now: number): string[] {
    return chooseWatchers(this.listMembers(now), availabilityZone)
  }

  planNeighbours (now: number): Neighbour[] {
    const members = this.listMembers(now)
    const self = members.find((member) => member.host === this.options.self.host) as Member
    const tries = listTries(this.entries.values()).map((entry) => this.describeMember(entry, new Set(), now))
    const plan = planNeighbours({ self, members, heartbeatMs: this.options.heartbeatMs, tries, getTriedAt: (host) => this.entries.get(host)?.triedAt ?? -Infinity, chooseWatchers: (zone) => chooseWatchers(members, zone) })
    this.silence.setIntervals(plan, now)
    return plan
  }

  /** Tells as news each host that has just gone silent, and forgets what is too old. */
  advance (now: number): void {
    const silent = this.listSilent(now)
    for (const entry of [...this.entries.values()]) {
      if (entry.host === this.options.self.host) continue
      if (now - Math.max(entry.heardAt, entry.listedAt) > FORGET_AFTER_MS) {
        this.remove(entry)
        continue
      }
      if (entry.isGone || entry.isSilent || !silent.has(entry.host) || !this.silence.isWitness(entry, now)) continue
      entry.isSilent = true
      this.announce(entry)
    }
  }

  /** What to tell of a host; its age is as of now. */
  getSummary (host: string, now: number): Summary | undefined {
    return describeSummary(this.entries.get(host), host === this.options.self.host, now)
  }

  /** The hosts of which there is word to pass on, gone ones among them, so that older word doesn't bring them back. */
  listHosts (): Array<{ host: string, availabilityZone: string }> {
    return [...this.entries.values()]
      .filter((entry) => entry.incarnation > 0 && entry.host !== this.options.self.host)
      .map(({ host, availabilityZone }) => ({ host, availabilityZone }))
  }

  /** A first or newer incarnation: the one before has ended, as two can't have one address. */
  private adoptIncarnation (listed: Omit<ListedHost, 'isLeaving'> & { incarnation: number }): MemberEntry {
    const before = this.entries.get(listed.host)
    const next = { ...makeMemberEntry({ ...listed, isLeaving: false }), incarnation: listed.incarnation, listedAt: before?.listedAt ?? -Infinity }
    if (before !== undefined && before.incarnation > 0 && !before.isGone) {
      this.emit({ kind: 'gone', host: before.host, incarnation: before.incarnation, evidence: GoneEvidence.newerIncarnation })
    }
    this.store(next)
    return next
  }

  private mergeSummary (entry: MemberEntry, told: Summary): void {
    if (entry.peerAddress === '' && told.peerAddress !== '') {
      Object.assign(entry, { peerAddress: told.peerAddress, callerAddress: told.callerAddress })
      this.announce(entry)
    }
    entry.revision = Math.max(entry.revision, told.revision)
    if (told.isLeaving && !entry.isLeaving) {
      entry.isLeaving = true
      this.announce(entry)
    }
    if (told.ageMs === 0) entry.loads = told.loads
    if (told.isGone) this.markGone(entry, told.ageMs === 0 ? GoneEvidence.announced : GoneEvidence.told)
  }

  private touchDirect (entry: MemberEntry, now: number): void {
    const isNews = entry.directAt === -Infinity || entry.isSilent
    Object.assign(entry, { heardAt: now, directAt: now, isSilent: false })
    if (isNews) this.announce(entry)
  }

  private markGone (entry: MemberEntry, evidence: GoneEvidence): void {
    if (entry.isGone) return
    entry.isGone = true
    this.announce(entry)
    this.emit({ kind: 'gone', host: entry.host, incarnation: entry.incarnation, evidence })
  }

  private describeMember (entry: MemberEntry, silent: ReadonlySet<string>, now: number): Member {
    return entry.host === this.options.self.host ? describeSelf(entry) : describeMember(entry, silent.has(entry.host), now)
  }

  private store (entry: MemberEntry): void {
    this.entries.set(entry.host, entry)
    this.announce(entry)
  }

  private remove (entry: MemberEntry): void {
    this.entries.delete(entry.host)
    this.news.remove(entry.host)
  }

  private listSilent (now: number): ReadonlySet<string> {
    if (this.judged === undefined || now - this.judged.at >= JUDGE_EVERY_MS || this.judged.news !== this.news.latest) {
      const silent = this.silence.listSilent(this.entries.values(), this.options.self, now)
      this.judged = { at: now, news: this.news.latest, silent }
    }
    return this.judged.silent
  }

  private announce (entry: MemberEntry): void {
    this.news.mark(entry.host)
    this.emit({ kind: 'news' })
  }

  private emit (event: MembershipEvent): void {
    for (const listener of [...this.listeners]) listener(event)
  }

  private require (host: string): MemberEntry {
    return this.entries.get(host) as MemberEntry
  }
}
