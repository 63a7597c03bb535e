import { describeHandOver } from './describeHandOver.js'
import { isSameHost } from './isSameHost.js'
import { isTakeable } from './isTakeable.js'
import type { LimitsOptions } from './limitsOptions.js'
import { listBindingGrants } from './listBindingGrants.js'
import type { Part } from './part.js'
import type { PartClaim } from './partClaim.js'
import type { PartClaimAnswer } from './partClaimAnswer.js'
import type { PartState } from './partState.js'
import type { PartStatus } from './partStatus.js'
import type { PartUser } from './partUser.js'
import type { Roster } from './roster.js'
import type { RosterHost } from './rosterHost.js'
import { takePart } from './takePart.js'
import { tryPassPart } from './tryPassPart.js'
import { ZoneView } from './zoneView.js'

/**
 * Maximum number of processes known to be gone that are remembered, since the roster may still
 * name them; a dropped one is learnt again from the next report of it.
 */
const MAX_KNOWN_GONE = 256

interface PlannedClaim {
  host: string
  claim: PartClaim
}

/**
 * Tracks which parts (a target's floor, a target's rest, a zone's share of a limit) this host holds, so that
 * no two hosts of a zone ever hold the same part, although rosters change, messages are lost, late or
 * repeated and hosts crash. Otherwise a host that has not yet received a roster with a new host would go on
 * sending to a target to which the new host sends too.
 *
 * Rule: a host takes a part only when its view of the zone ranks it as holder and every other live member
 * has answered, at exactly that view, that it doesn't hold the part. This is safe because a host's view only advances.
 * Suppose that two hosts hold one part, taken at views V and W. If V = W, the ranking names only one host. Otherwise
 * each answered the other at the other's view, so one of them, say the first, answered at W after it had been at V.
 * Either it had taken the part by then and its answer said so, or it had not, and the answers that it had for V became
 * void with the change of view. A late or repeated answer carries its view and is dropped once that view is superseded.
 * A host that neither answers nor is known to be gone blocks the claim. Meanwhile the former holder, if alive, goes on
 * using the part, so the wait loses no capacity.
 *
 * A part that no host holds was lost with its holder. The lost holder's work and grants may continue for `waitMs`
 * after the loss. The wait counts from when this host learnt of the loss, which is never before the loss.
 */
export class PartClaims {
  private view: ZoneView | undefined
  private readonly parts = new Map<string, PartState>()
  /** Processes known to be gone, including those that the roster doesn't name yet. */
  private knownGone: RosterHost[] = []
  /**
   * Parts for which this host ranks as holder and that it doesn't hold; cached until
   * that may change, so that requests don't pay for the computation.
   */
  private wanted: PartState[] | undefined
  private lostAt = -Infinity
  private newestVersion = 0
  private changes = 0

  constructor (private readonly self: RosterHost, private readonly options: LimitsOptions) {}

  /** Changes whenever this host takes or hands over a part, or its view changes. */
  get epoch (): number {
    return this.changes
  }

  /** Whether a peer has a later roster than this host. */
  get isBehind (): boolean {
    return this.newestVersion > this.rosterVersion
  }

  /** Live members of the roster, this host included. */
  countLive (): number {
    return this.view?.live.length ?? 0
  }

  /** Members of the roster that are gone by definitive evidence. */
  get gone (): RosterHost[] {
    return this.view?.gone ?? []
  }

  /** Whether this host's roster names this process, in this incarnation, and it isn't known to be gone. */
  get isMember (): boolean {
    return this.view?.has(this.self) ?? false
  }

  get rosterVersion (): number {
    return this.view?.roster.version ?? 0
  }

  /** Registers a part, which this host then claims where it ranks as holder; a part with a known id is replaced and keeps its state. */
  addPart (part: Part, user: PartUser): PartStatus {
    const state = this.parts.get(part.id) ?? { part, user, held: false, usable: false, cleared: new Set(), handOvers: [], lostAt: this.lostAt, given: undefined }
    state.part = part
    this.parts.set(part.id, state)
    this.wanted = undefined
    return state
  }

  removePart (id: string): void {
    this.parts.delete(id)
    this.wanted = undefined
  }

  /** Adopts a newer roster; an older roster, or the same one again, is ignored. */
  adoptRoster (roster: Roster, now: number): void {
    const former = this.view
    if (former !== undefined && roster.version <= former.roster.version) return
    const next = new ZoneView(roster, this.knownGone)
    const losses = [...(former?.live ?? []).filter((host) => !roster.hosts.some((each) => isSameHost(each, host))), ...next.gone]
    const hasUnseenLoss = roster.version !== this.rosterVersion + 1 && (roster.lastLossVersion ?? roster.version) > this.rosterVersion
    this.markLost(hasUnseenLoss ? undefined : losses, now)
    this.setView(next)
  }

  /** Records that a process is gone, on definitive evidence only; missing reports are no such evidence. */
  markGone (host: RosterHost, now: number): void {
    if (isSameHost(host, this.self)) return
    if (!this.knownGone.some((each) => isSameHost(each, host))) this.knownGone = [...this.knownGone, host].slice(-MAX_KNOWN_GONE)
    const next = this.view?.withGone([host])
    if (next === undefined || next === this.view) return
    this.markLost([host], now)
    this.setView(next)
  }

  /** Whether new work may use the part. */
  isUsable (id: string): boolean {
    return this.parts.get(id)?.usable ?? false
  }

  isHeld (id: string): boolean {
    return this.parts.get(id)?.held ?? false
  }

  /** Whether a grant from a part that this host handed over may still bind; the next holder must be informed of such a grant. */
  hasBindingGrants (id: string, now: number): boolean {
    const given = this.parts.get(id)?.given
    return given !== undefined && listBindingGrants(given, now).length > 0
  }

  /** Returns the live member that is to hold the part according to this host's view. */
  getHolder (id: string): RosterHost | undefined {
    const state = this.parts.get(id)
    if (state === undefined || this.view === undefined) return undefined
    return this.view.getHolder(state.part.key, state.part.rank)
  }

  /** Takes every part whose conditions are met. */
  advance (now: number): void {
    for (const state of this.listWanted()) {
      if (this.isCleared(state) && isTakeable(state, this.options, now)) this.take(state, now)
    }
  }

  /**
   * Plans the claims to send to peers that have not yet cleared all wanted parts: for each peer, one
   * message for the parts that are ready to be handed over and one for the others.
   */
  planClaims (now: number): PlannedClaim[] {
    this.advance(now)
    const view = this.view
    if (view === undefined) return []
    const wanted = this.listWanted()
    return this.listPeers(view).flatMap((host) => {
      const open = wanted.filter((state) => !state.cleared.has(host.name))
      if (open.length === 0) return []
      const ready = open.filter((state) => state.cleared.size >= this.listPeers(view).length - 1)
      const claim = { rosterVersion: view.roster.version, gone: view.gone }
      const batches = [
        { ...claim, parts: ready.map((state) => state.part.id), ready: true },
        { ...claim, parts: open.filter((state) => !ready.includes(state)).map((state) => state.part.id), ready: false }
      ]
      return batches.filter((batch) => batch.parts.length > 0).map((batch) => ({ host: host.name, claim: batch }))
    })
  }

  /** Answers a peer's claim. If the claim is ready, hands over each part for which the peer ranks as holder and which no work of this host needs. */
  handleClaim (sender: RosterHost, claim: PartClaim, now: number): PartClaimAnswer {
    this.newestVersion = Math.max(this.newestVersion, claim.rosterVersion)
    if (this.rosterVersion === claim.rosterVersion) claim.gone.forEach((host) => this.markGone(host, now))
    const view = this.view
    const answer = { from: this.self, rosterVersion: this.rosterVersion, gone: view?.gone ?? [] }
    if (view === undefined || !this.isAtView(view, sender, claim)) return { ...answer, binding: false, held: [], handedOver: [] }
    if (claim.ready) claim.parts.forEach((id) => this.passPart(id, sender, view, now))
    return {
      ...answer,
      binding: true,
      held: claim.parts.filter((id) => this.isHeld(id)),
      handedOver: claim.parts.flatMap((id) => describeHandOver(this.parts.get(id), sender, view.key, now))
    }
  }

  /**
   * Applies a peer's answer. Besides the view, the incarnation of the answering process must be the one that the view
   * names: a restarted host must not answer for its former incarnation, because it doesn't know the work that the
   * former one began.
   */
  acceptAnswer (claim: PartClaim, answer: PartClaimAnswer, now: number): void {
    this.newestVersion = Math.max(this.newestVersion, answer.rosterVersion)
    const view = this.view
    if (view === undefined || !view.has(answer.from)) return
    const host = answer.from.name
    answer.gone.forEach((each) => this.markGone(each, now))
    if (!answer.binding || answer.rosterVersion !== view.roster.version || claim.rosterVersion !== view.roster.version) return
    if (this.view !== view || new ZoneView(view.roster, answer.gone).key !== view.key) return
    for (const id of claim.parts) {
      const state = this.parts.get(id)
      if (state === undefined || state.held || answer.held.includes(id)) continue
      if (!state.cleared.has(host)) state.handOvers.push(...answer.handedOver.filter((handOver) => handOver.part === id))
      state.cleared.add(host)
    }
    this.advance(now)
  }

  private isAtView (view: ZoneView, sender: RosterHost, claim: PartClaim): boolean {
    if (claim.rosterVersion !== view.roster.version || !view.has(this.self) || !view.has(sender)) return false
    return new ZoneView(view.roster, claim.gone).key === view.key
  }

  private listPeers (view: ZoneView): RosterHost[] {
    return view.live.filter((host) => host.name !== this.self.name)
  }

  private listWanted (): PartState[] {
    this.wanted ??= [...this.parts.values()].filter((state) => this.isWanted(state))
    return this.wanted
  }

  private isWanted (state: PartState): boolean {
    if (state.held || this.view === undefined || !this.view.has(this.self)) return false
    return this.view.getHolder(state.part.key, state.part.rank)?.name === this.self.name
  }

  private isCleared (state: PartState): boolean {
    const view = this.view
    return view !== undefined && this.listPeers(view).every((host) => state.cleared.has(host.name))
  }

  private take (state: PartState, now: number): void {
    this.wanted = undefined
    this.changes += 1
    takePart(state, now)
  }

  private passPart (id: string, sender: RosterHost, view: ZoneView, now: number): void {
    const state = this.parts.get(id)
    if (state === undefined || !state.held) return
    if (view.getHolder(state.part.key, state.part.rank)?.name !== sender.name) return
    if (!tryPassPart(state, sender, view.key, now)) return
    this.wanted = undefined
    this.changes += 1
  }

  /** Records the loss of hosts; `undefined` stands for hosts that were never in a roster of this host. */
  private markLost (hosts: readonly RosterHost[] | undefined, now: number): void {
    if (hosts !== undefined && hosts.length === 0) return
    this.lostAt = now
    for (const state of this.parts.values()) {
      if (hosts === undefined || hosts.some((host) => !state.cleared.has(host.name))) state.lostAt = now
    }
  }

  private setView (view: ZoneView): void {
    this.view = view
    this.wanted = undefined
    this.changes += 1
    const isMember = view.has(this.self)
    for (const state of this.parts.values()) {
      if (!isMember) state.held = false
      state.usable = state.held
      state.cleared.clear()
      state.handOvers = []
    }
  }
}
