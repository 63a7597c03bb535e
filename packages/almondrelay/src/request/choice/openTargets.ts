import { IndexedHeap } from '../admission/indexedHeap.js'
import type { Random } from '../random.js'
import type { TargetState } from './targetState.js'

interface TargetCounts {
  allowed: number
  headroom: number
}

/** The targets that can take one more request, from which one is drawn at random in constant time. */
export class OpenTargets {
  /** Number of requests that all targets may run at once. */
  capacity = 0
  /** Number of further requests that the targets may run in addition to those running. */
  headroom = 0
  private readonly open: TargetState[] = []
  private readonly positions = new Map<TargetState, number>()
  private readonly counts = new Map<TargetState, TargetCounts>()
  private readonly trials = new IndexedHeap<TargetState>()

  /** Updates the sums and sets; must be called after each change of a target. */
  reconcile (state: TargetState): void {
    const headroom = Math.max(0, state.allowed - state.running)
    this.setCounts(state, { allowed: state.allowed, headroom })
    if (headroom > 0) this.add(state)
    else this.removeOpen(state)
    if (state.trialAt === undefined || state.running > 0 || state.isLeaving) this.trials.remove(state)
    else this.trials.set(state, state.trialAt)
  }

  remove (state: TargetState): void {
    this.setCounts(state, { allowed: 0, headroom: 0 })
    this.counts.delete(state)
    this.removeOpen(state)
    this.trials.remove(state)
  }

  pick (random: Random): TargetState | undefined {
    return this.open[Math.floor(random() * this.open.length)]
  }

  /** Finds an allowed target among all open targets, beginning at a random one. */
  find (allow: (state: TargetState) => boolean, random: Random): TargetState | undefined {
    const candidates = [...this.open]
    const offset = Math.floor(random() * candidates.length)
    for (let step = 0; step < candidates.length; step += 1) {
      const state = candidates[(offset + step) % candidates.length]
      if (state !== undefined && allow(state)) return state
    }
    return undefined
  }

  /** Finds a target whose trial is due and that runs no request. */
  findTrialDue (now: number): TargetState | undefined {
    return (this.trials.findPriority() ?? Infinity) <= now ? this.trials.find() : undefined
  }

  private setCounts (state: TargetState, counts: TargetCounts): void {
    const previous = this.counts.get(state)
    this.capacity += counts.allowed - (previous?.allowed ?? 0)
    this.headroom += counts.headroom - (previous?.headroom ?? 0)
    this.counts.set(state, counts)
  }

  private add (state: TargetState): void {
    if (this.positions.has(state)) return
    this.positions.set(state, this.open.length)
    this.open.push(state)
  }

  private removeOpen (state: TargetState): void {
    const position = this.positions.get(state)
    if (position === undefined) return
    const last = this.open.pop()
    this.positions.delete(state)
    if (last === undefined || last === state) return
    this.open[position] = last
    this.positions.set(last, position)
  }
}
