import { SlidingWindowCounter } from '../../request/slidingWindowCounter.js'
import type { TargetState } from '../../request/targetState.js'

/** Window in milliseconds over which the rate of answers is counted. */
const RATE_WINDOW_MS = 4_000
/** Silence, as a multiple of the mean time between two answers, that is suspicious: by chance it comes once in 400 such times. */
const SUSPICIOUS_GAPS = 6
/** Minimum of the suspicious silence in milliseconds. */
const MIN_SILENCE_MS = 250
/** Minimum sends that wait for an answer. */
const MIN_WAITING = 2
/** Targets that are probed when a silence is suspicious. */
const MAX_PROBED = 3
/** Milliseconds before the same silence is reported again. */
const REPEAT_MS = 500

interface WaitingSend {
  target: TargetState
  sentAt: number
}

interface Scope {
  answers: SlidingWindowCounter
  contactAt: number
  reportedAt: number
}

/**
 * Notices that targets have stopped answering this host, although requests wait for their answers: open connections over a lost link
 * give no error. Looks at all targets together, which shows a cut of all within few answers' time, and at each availability zone.
 */
export class SilenceDetector {
  private readonly waiting = new Set<WaitingSend>()
  private readonly all = createScope()
  private readonly zones = new Map<string, Scope>()

  /** Records that a request was written to a target; returns the function to call once it waits no more. */
  addSend (target: TargetState, sentAt: number): () => void {
    const send = { target, sentAt }
    this.waiting.add(send)
    return () => { this.waiting.delete(send) }
  }

  /** Records an answer of a target. */
  observeAnswer (target: TargetState, now: number): void {
    for (const scope of [this.all, this.findZone(target.entry.availabilityZone)]) scope.answers.add(now)
    this.observeContact(target, now)
  }

  /** Records an answer of a target or a new connection to it. */
  observeContact (target: TargetState, now: number): void {
    for (const scope of [this.all, this.findZone(target.entry.availabilityZone)]) scope.contactAt = now
  }

  /** Returns targets to probe: those that have left requests unanswered for longest in a silence that is suspicious. */
  listSilentTargets (now: number): TargetState[] {
    if (this.waiting.size < MIN_WAITING) return []
    const sends = [...this.waiting]
    const targets = new Set<TargetState>()
    for (const [zone, scope] of [[undefined, this.all] as const, ...this.zones]) {
      const inScope = zone === undefined ? sends : sends.filter(({ target }) => target.entry.availabilityZone === zone)
      if (!isSuspicious(scope, inScope, now)) continue
      scope.reportedAt = now
      for (const target of pickFromZones(inScope)) targets.add(target)
    }
    return [...targets]
  }

  private findZone (availabilityZone: string): Scope {
    const known = this.zones.get(availabilityZone)
    if (known !== undefined) return known
    const scope = createScope()
    this.zones.set(availabilityZone, scope)
    return scope
  }
}

const createScope = (): Scope => ({ answers: new SlidingWindowCounter(RATE_WINDOW_MS), contactAt: -Infinity, reportedAt: -Infinity })

const isSuspicious = ({ answers, contactAt, reportedAt }: Scope, sends: readonly WaitingSend[], now: number): boolean => {
  const secondOldest = sends[MIN_WAITING - 1]
  if (secondOldest === undefined || (reportedAt > contactAt && now - reportedAt < REPEAT_MS)) return false
  const silentMs = now - Math.max(contactAt, secondOldest.sentAt)
  return silentMs >= Math.max(MIN_SILENCE_MS, SUSPICIOUS_GAPS * RATE_WINDOW_MS / answers.count(now))
}

/** Picks the targets of the oldest sends, of different availability zones where there are several. */
const pickFromZones = (sends: readonly WaitingSend[]): TargetState[] => {
  const picked = new Map<string, TargetState>()
  for (const { target } of sends) if (!picked.has(target.entry.availabilityZone)) picked.set(target.entry.availabilityZone, target)
  const others = new Set(sends.map(({ target }) => target))
  return [...new Set([...picked.values(), ...others])].slice(0, MAX_PROBED)
}
