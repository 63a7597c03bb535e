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
import { ChangeTracker } from './changeTracker.js'
import { planNeighbours } from './planNeighbours.js'
import { SilenceRule } from './silenceRule.js'
import type { ServiceLoad } from './serviceLoad.js'
import type { Summary } from './summary.js'

/**
 * Age at which the state of a host is dropped. Dropping it frees nothing that the host holds; it bounds memory, and old
 * reports are refused so that they don't restore a host whose exit is no longer recorded.
 */
const MAX_REPORT_AGE_MS = 3_600_000

/** Interval at which silence is evaluated again, so that looking up one member for each request costs little. */
const EVALUATION_INTERVAL_MS = 50

/** Two reports of a host whose times differ by less than this stem from the same heartbeat, received over two paths. */
const SAME_REPORT_TOLERANCE_MS = 200

/**
 * The known entry hosts and the last known state of each.
 *
 * Suspicion and evidence are separate. A host without reports is suspected: it gets no new work, but nothing that it
 * holds is freed, because a process that is paused, slow or partitioned sends no reports either and may resume later.
 * Only evidence makes an incarnation gone, and `gone` is never revoked: its address refuses connections, a report of
 * a newer incarnation was received, or it announced that it has left.
 */
export class Membership {
  private readonly entries = new Map<string, MemberEntry>()
  private readonly listeners = new Set<(event: MembershipEvent) => void>()
  private readonly silence: SilenceRule
  private lastEvaluation: { at: number, latestChange: number, silent: ReadonlySet<string> } | undefined
  readonly changeTracker = new ChangeTracker()

  constructor (private readonly options: MembershipOptions) {
    this.silence = new SilenceRule(options.suspectAfterMs, options.heartbeatMs)
    this.store({ ...makeMemberEntry({ ...options.self, isLeaving: false }), incarnation: options.self.incarnation })
  }

  subscribe (listener: (event: MembershipEvent) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Adds a host that the settings name; its entry never expires. */
  addSeed (seed: ListedHost): void {
    this.observeListed(seed, Infinity)
  }

  /** Adds or updates a host from the platform's host list. The list lags, so a host that is absent from it is not removed. */
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

  /** Records a heartbeat from a host, unless its identity check fails. `ownSummary` is the summary that the host gives of itself. */
  observeHeartbeat (sender: HeartbeatSender, ownSummary: Summary | undefined, now: number): HeartbeatVerdict {
    const entry = this.entries.get(sender.host)
    const verdict = checkSender(sender, ownSummary, entry, this.options.self.host)
    if (verdict !== HeartbeatVerdict.accepted) return verdict
    const addresses = { callerAddress: ownSummary?.callerAddress ?? '', peerAddress: ownSummary?.peerAddress ?? '' }
    const known = entry !== undefined && entry.incarnation === sender.incarnation ? entry : this.adoptIncarnation({ ...sender, ...addresses })
    if (ownSummary !== undefined) this.mergeSummary(known, ownSummary)
    known.revision = Math.max(known.revision, sender.revision)
    this.recordDirectReport(known, now)
    return HeartbeatVerdict.accepted
  }

  /** Records that a heartbeat to the host was not answered. This can only make the host suspected, never gone; see `listMembers`. */
  observeSilence (host: string, now: number): void {
    const entry = this.entries.get(host)
    if (entry === undefined) return
    entry.lastFailedAt = now
    entry.failures += 1
    entry.failedSince = Math.min(entry.failedSince, now)
  }

  /** Records that a heartbeat sent by this host was answered. */
  observeAnswered (host: string): void {
    const entry = this.entries.get(host)
    if (entry !== undefined) Object.assign(entry, { failures: 0, failedSince: Infinity })
  }

  /** Records that the address refused a connection that was begun while `incarnation` was the host's latest. */
  observeRefused (host: string, incarnation: number, peerAddress: string, now: number): void {
    const entry = this.entries.get(host)
    if (entry === undefined) return
    entry.lastFailedAt = now
    if (isRefusalEvidence(entry, { incarnation, peerAddress, ownZone: this.options.self.availabilityZone })) this.markGone(entry, GoneEvidence.refused)
  }

  /** Records a summary of a host that a peer sent. */
  observeSummary (summary: Summary, now: number): void {
    if (summary.host === this.options.self.host || summary.incarnation === 0 || summary.ageMs > MAX_REPORT_AGE_MS) return
    const entry = this.entries.get(summary.host)
    if (entry !== undefined && entry.incarnation > summary.incarnation) return
    const known = entry !== undefined && entry.incarnation === summary.incarnation ? entry : this.adoptIncarnation(summary)
    this.mergeSummary(known, summary)
    const heardAt = now - summary.ageMs
    if (heardAt < known.heardAt - SAME_REPORT_TOLERANCE_MS) return
    const isNewer = heardAt > known.heardAt + SAME_REPORT_TOLERANCE_MS
    if (isNewer) Object.assign(known, { heardAt, loads: summary.loads })
    const isSilent = summary.isSilent || (known.isSilent && !isNewer)
    if (known.isSilent === isSilent) return
    known.isSilent = isSilent
    this.announce(known)
  }

  /** Updates the state that this host reports of itself. */
  updateSelf (update: { revision?: number, loads?: ServiceLoad[], isLeaving?: boolean, isGone?: boolean }): void {
    const self = this.require(this.options.self.host)
    const isChange = (update.isLeaving ?? self.isLeaving) !== self.isLeaving || (update.isGone ?? self.isGone) !== self.isGone
    Object.assign(self, update)
    if (isChange) this.announce(self)
  }

  /** Lists every known host, this one included. */
  listMembers (now: number): Member[] {
    const silent = this.listSilent(now)
    return [...this.entries.values()].map((entry) => this.describeMember(entry, silent, now))
  }

  getMember (host: string, now: number): Member | undefined {
    const entry = this.entries.get(host)
    return entry === undefined ? undefined : this.describeMember(entry, this.listSilent(now), now)
  }

  /** Returns the last reported revision of a host; 0 where it isn't known. */
  getRevision (host: string): number {
    return this.entries.get(host)?.revision ?? 0
  }

  /** Chooses the two hosts of a zone that watch the platform: the first live ones by name. */
  chooseWatchers (availabilityZone: string, now: number): string[] {
    return chooseWatchers(this.listMembers(now), availabilityZone)
  }

  planNeighbours (now: number): Neighbour[] {
    const members = this.listMembers(now)
    const self = members.find((member) => member.host === this.options.self.host) as Member
    const probeCandidates = listTries(this.entries.values()).map((entry) => this.describeMember(entry, new Set(), now))
    const plan = planNeighbours({ self, members, heartbeatMs: this.options.heartbeatMs, probeCandidates, getLastFailedAt: (host) => this.entries.get(host)?.lastFailedAt ?? -Infinity, chooseWatchers: (zone) => chooseWatchers(members, zone) })
    this.silence.setIntervals(plan, now)
    return plan
  }

  /** Announces each host that has newly become silent, and removes entries that are too old. */
  advance (now: number): void {
    const silent = this.listSilent(now)
    for (const entry of [...this.entries.values()]) {
      if (entry.host === this.options.self.host) continue
      if (now - Math.max(entry.heardAt, entry.listedAt) > MAX_REPORT_AGE_MS) {
        this.remove(entry)
        continue
      }
      if (entry.isGone || entry.isSilent || !silent.has(entry.host) || !this.silence.isWitness(entry, now)) continue
      entry.isSilent = true
      this.announce(entry)
    }
  }

  /** Returns the summary of a host to send to peers; its age is as of `now`. */
  getSummary (host: string, now: number): Summary | undefined {
    return describeSummary(this.entries.get(host), host === this.options.self.host, now)
  }

  /** Lists the hosts whose state is passed on to peers, gone ones included, so that older reports don't restore those. */
  listHosts (): Array<{ host: string, availabilityZone: string }> {
    return [...this.entries.values()]
      .filter((entry) => entry.incarnation > 0 && entry.host !== this.options.self.host)
      .map(({ host, availabilityZone }) => ({ host, availabilityZone }))
  }

  /** Adds a first or newer incarnation. The previous one has exited, as two processes can't listen on one address. */
  private adoptIncarnation (listed: Omit<ListedHost, 'isLeaving'> & { incarnation: number }): MemberEntry {
    const before = this.entries.get(listed.host)
    const next = { ...makeMemberEntry({ ...listed, isLeaving: false }), incarnation: listed.incarnation, listedAt: before?.listedAt ?? -Infinity }
    if (before !== undefined && before.incarnation > 0 && !before.isGone) {
      this.emit({ kind: 'gone', host: before.host, incarnation: before.incarnation, evidence: GoneEvidence.newerIncarnation })
    }
    this.store(next)
    return next
  }

  private mergeSummary (entry: MemberEntry, received: Summary): void {
    if (entry.peerAddress === '' && received.peerAddress !== '') {
      Object.assign(entry, { peerAddress: received.peerAddress, callerAddress: received.callerAddress })
      this.announce(entry)
    }
    entry.revision = Math.max(entry.revision, received.revision)
    if (received.isLeaving && !entry.isLeaving) {
      entry.isLeaving = true
      this.announce(entry)
    }
    if (received.ageMs === 0) entry.loads = received.loads
    if (received.isGone) this.markGone(entry, received.ageMs === 0 ? GoneEvidence.announced : GoneEvidence.told)
  }

  private recordDirectReport (entry: MemberEntry, now: number): void {
    const isChange = entry.directAt === -Infinity || entry.isSilent
    Object.assign(entry, { heardAt: now, directAt: now, isSilent: false })
    if (isChange) this.announce(entry)
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
    this.changeTracker.remove(entry.host)
  }

  private listSilent (now: number): ReadonlySet<string> {
    if (this.lastEvaluation === undefined || now - this.lastEvaluation.at >= EVALUATION_INTERVAL_MS || this.lastEvaluation.latestChange !== this.changeTracker.latest) {
      const silent = this.silence.listSilent(this.entries.values(), this.options.self, now)
      this.lastEvaluation = { at: now, latestChange: this.changeTracker.latest, silent }
    }
    return this.lastEvaluation.silent
  }

  private announce (entry: MemberEntry): void {
    this.changeTracker.mark(entry.host)
    this.emit({ kind: 'news' })
  }

  private emit (event: MembershipEvent): void {
    for (const listener of [...this.listeners]) listener(event)
  }

  private require (host: string): MemberEntry {
    return this.entries.get(host) as MemberEntry
  }
}
