import { describeGiven } from './describeGiven.js'
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

/** Evidence kept for hosts that the roster may still name; what is dropped here is learnt again from its next report. */
const MAX_KNOWN_GONE = 256

interface PlannedClaim {
  host: string
  claim: PartClaim
}

/**
 * Which parts (a target's floor, a target's rest, a zone's share of a limit) this host holds, so that
 * no two hosts of a zone ever hold the same one, while rosters change, messages are lost, late or
 * repeated and hosts die. Without it a host that has not yet heard of a join goes on filling a target
 * which the joining host fills too.
 *
 * The rule: a host takes a part only when its view of the zone ranks it for the part and every other
 * live member has said, at exactly that view, that it doesn't hold it. Why it holds: a view only grows.
 * Say that two hosts held one part, taken at views V and W. With V = W the ranking names one host. Else
 * each answered the other at the other's view, so one of them, say the first, answered at W after it
 * was at V; it had taken the part by then and said so, or it hadn't and its answers for V were void from
 * there. A late or repeated answer carries its view, and is dropped where that has passed. A host that
 * neither answers nor is gone by evidence blocks the taking: its former holder, if alive, goes on using
 * the part, so nothing is lost by the wait.
 *
 * A part that nobody holds was lost with its holder. Its work and its grants may go on for `waitMs`
 * after the loss, counted from when this host learnt of it, which is never before the loss.
 */
export class PartClaims {
  private view: ZoneView | undefined
  private readonly parts = new Map<string, PartState>()
  /** Processes known to be gone, also those that the roster doesn't name yet. */
  private known: RosterHost[] = []
  /** Parts that fall to this host and that it doesn't hold; rebuilt when that may have changed, so that a request costs nothing here. */
  private wanted: PartState[] | undefined
  private lostAt = -Infinity
  private newestVersion = 0
  private changes = 0

  constructor (private readonly self: RosterHost, private readonly options: LimitsOptions) {}

  /** Changes whenever this host takes or gives up a part. */
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

  /** Whether the roster that this host has names this very process. */
  get isMember (): boolean {
    return this.view?.has(this.self) ?? false
  }

  get rosterVersion (): number {
    return this.view?.roster.version ?? 0
  }

  /** Begins to claim the part where it falls to this host; a known part's figures are replaced. */
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

  /** An older roster, or the same one again, changes nothing. */
  adoptRoster (roster: Roster, now: number): void {
    const former = this.view
    if (former !== undefined && roster.version <= former.roster.version) return
    const next = new ZoneView(roster, this.known)
    const losses = [...(former?.live ?? []).filter((host) => !roster.hosts.some((each) => isSameHost(each, host))), ...next.gone]
    const hasUnseenLoss = roster.version !== this.rosterVersion + 1 && (roster.lastLossVersion ?? roster.version) > this.rosterVersion
    this.markLost(hasUnseenLoss ? undefined : losses, now)
    this.setView(next)
  }

  /** Takes note that a process is gone, on definitive evidence only: silence is none. */
  markGone (host: RosterHost, now: number): void {
    if (isSameHost(host, this.self)) return
    if (!this.known.some((each) => isSameHost(each, host))) this.known = [...this.known, host].slice(-MAX_KNOWN_GONE)
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

  /** Whether a grant from a part that this host gave up may still bind; the next holder has to be told of it. */
  hasObligation (id: string, now: number): boolean {
    const given = this.parts.get(id)?.given
    return given !== undefined && listBindingGrants(given, now).length > 0
  }

  /** The live member that is to hold the part, as far as this host knows. */
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

  /** The questions to ask other members; one message for each that has some left to answer. */
  planClaims (now: number): PlannedClaim[] {
    this.advance(now)
    const view = this.view
    if (view === undefined) return []
    const wanted = this.listWanted()
    return this.listOthers(view).flatMap((host) => {
      const open = wanted.filter((state) => !state.cleared.has(host.name))
      if (open.length === 0) return []
      const ready = open.filter((state) => state.cleared.size >= this.listOthers(view).length - 1)
      const claim = { rosterVersion: view.roster.version, gone: view.gone }
      const batches = [
        { ...claim, parts: ready.map((state) => state.part.id), ready: true },
        { ...claim, parts: open.filter((state) => !ready.includes(state)).map((state) => state.part.id), ready: false }
      ]
      return batches.filter((batch) => batch.parts.length > 0).map((batch) => ({ host: host.name, claim: batch }))
    })
  }

  /** Answers another member's claim, giving up what falls to it once no work of this host needs it. */
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
      handedOver: claim.parts.flatMap((id) => describeGiven(this.parts.get(id), sender, view.key, now))
    }
  }

  /**
   * Guards, besides the view, against an answer by a restarted host for its former incarnation, which
   * knows nothing of the work that the former one began: the answerer must be the very process that the view names.
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

  private listOthers (view: ZoneView): RosterHost[] {
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
    return view !== undefined && this.listOthers(view).every((host) => state.cleared.has(host.name))
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

  /** `undefined` stands for hosts that this one never heard of. */
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
