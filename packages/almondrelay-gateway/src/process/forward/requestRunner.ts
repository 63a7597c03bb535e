import { RefusalReason } from 'almondrelay'
import type { TargetCodec } from '../../connection/targetCodec.js'
import type { AttemptResult } from '../../request/attemptResult.js'
import type { CallerRequest } from '../../request/callerRequest.js'
import { CopyDecision } from '../../request/copyDecision.js'
import { decideAdmission } from '../../request/decideAdmission.js'
import { decideNextStep } from '../../request/decideNextStep.js'
import { describeResult } from '../../request/describeResult.js'
import type { FinalAnswer } from '../../request/finalAnswer.js'
import { NextStep } from '../../request/nextStep.js'
import type { TargetChoice } from '../../request/targetChoice.js'
import type { CarrierClient } from '../carriers/carrierClient.js'
import type { LinkMonitor } from '../links/linkMonitor.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'
import type { RequestGate } from '../quarantine/requestGate.js'
import { Attempt } from './attempt.js'
import { EventQueue } from './eventQueue.js'
import type { RequestEvent } from './requestEvent.js'
import type { RequestRecord } from './requestRecord.js'
import type { RequestPlacement } from './requestPlacement.js'

/** Multiple of the expected duration after which a request is hedged. */
const HEDGE_DELAY_RATIO = 3
/** Minimum delay of a hedge in milliseconds. */
const MIN_HEDGE_DELAY_MS = 150
/** Milliseconds after the deadline within which the target's own answer may still arrive, which keeps its connection reusable. */
const LATE_ANSWER_TIMEOUT_MS = 400
/** Default Retry-After in milliseconds: about the time of one answer. */
const DEFAULT_RETRY_AFTER_MS = 150
/**
 * Maximum mean Retry-After, in milliseconds, where targets have reached their request limits or asked for a pause: limits may be lifted
 * any time, and a pause is that of one host only.
 */
const MAX_LIMIT_RETRY_AFTER_MS = 1_000

interface RunnerParts {
  codec: TargetCodec
  links: LinkMonitor
  carriers: CarrierClient
  gate: RequestGate
  metrics: Pick<GatewayMetrics, 'countCopy'>
  getNow: () => number
  random: () => number
}

/** Runs one request until its final answer. A single task handles the events of all its attempts in sequence. */
export class RequestRunner {
  readonly record: RequestRecord
  /** Expected milliseconds in the queue of the target that was chosen last. */
  expectedWaitMs = 0
  private readonly events = new EventQueue<RequestEvent>()
  private readonly running = new Set<Attempt>()
  private readonly triedIds = new Set<string>()
  private readonly timers: NodeJS.Timeout[] = []
  /** Settled once the attempts have ended. */
  private readonly attempts: Array<Promise<void>> = []
  private sends = 0
  /** Monotonic milliseconds from which on an attempt counts as overdue. */
  private readonly overdueAt = new Map<Attempt, number>()
  /** The attempt that was sent while the first one was running, so as to be answered on time. */
  private copy: Attempt | undefined
  /** Failure answer of a target that is passed to the caller if no better answer arrives. */
  private fallbackAnswer: Extract<AttemptResult, { kind: 'answered' }> | undefined
  /** Last failure after which the request may have run, for the final answer; undefined if there was none. */
  private uncertainFailure: ReturnType<typeof describeResult> | undefined
  private refusal: ReturnType<typeof describeResult> = { text: 'no target', cause: RefusalReason.noTarget }
  /** Whether the caller's key was revoked while the request waited. */
  private isUnidentified = false
  private retryAfterMs = DEFAULT_RETRY_AFTER_MS

  constructor (private readonly request: CallerRequest, private readonly placement: RequestPlacement, private readonly parts: RunnerParts) {
    this.record = { service: placement.service, homeRegion: placement.homeRegion, ...placement.describeKnownState(request.arrivedAt), attempts: [] }
  }

  async run (callerLeft: AbortSignal): Promise<FinalAnswer> {
    const handleAbort = (): void => { this.events.push({ kind: 'caller-left' }) }
    callerLeft.addEventListener('abort', handleAbort, { once: true })
    if (callerLeft.aborted) handleAbort()
    this.startTimer(this.request.deadline - this.parts.getNow(), { kind: 'deadline' })
    try {
      if (this.parts.gate.isBlocked) await this.parts.gate.claimTrial(this.parts.getNow())
      return await this.handleEvents()
    } finally {
      callerLeft.removeEventListener('abort', handleAbort)
      for (const timer of this.timers) clearTimeout(timer)
    }
  }

  /** Ends the request if its deadline has passed without its timer firing: timers stop while the machine is suspended. */
  expire (now: number): void {
    if (now >= this.request.deadline) this.events.push({ kind: 'deadline' })
  }

  /** Sends the request again if it waits for an answer over a link that has been lost, or by way of a host that has become silent. */
  handleLinkLoss (): void {
    this.events.push({ kind: 'links-lost' })
  }

  /**
   * Resolves once no attempt holds the request any more. Those of a caller that has left, and those that are given up at the deadline, may
   * run on after the final answer.
   */
  async waitForAttempts (): Promise<void> {
    await Promise.all(this.attempts)
  }

  private async handleEvents (): Promise<FinalAnswer> {
    if (!this.startAttempt()) return this.refuse()
    for (;;) {
      const event = await this.events.take()
      const answer = this.handleEvent(event)
      if (answer !== undefined) return answer
    }
  }

  private handleEvent (event: RequestEvent): FinalAnswer | undefined {
    switch (event.kind) {
      case 'ended': return this.handleAttemptEnd(event.attempt, event.result)
      case 'overdue': return this.handleOverdue()
      case 'copy-due': return this.handleCopyDue()
      case 'links-lost': return this.handleLostLinks()
      case 'deadline': return this.handleDeadline()
      case 'caller-left': return this.handleCallerLeft()
    }
  }

  private handleAttemptEnd (attempt: Attempt, result: AttemptResult): FinalAnswer | undefined {
    this.running.delete(attempt)
    const step = decideNextStep(result, this.request.route.idempotent)
    if (result.kind === 'broken') this.record.fingerprint ??= this.parts.gate.fingerprint
    this.recordAttempt(attempt, describeResult(result).text)
    if (step === NextStep.resend) this.sends -= 1
    if (step === NextStep.deliver && result.kind === 'answered') return this.passAnswer(result, attempt)
    if (step === NextStep.giveUp) return this.reportFailure(describeResult(result))
    this.recordFailure(result, step)
    if (this.copy !== undefined && this.isAnswerExpected()) return undefined
    if (this.startAttempt() || this.running.size > 0) return undefined
    return this.finishWithoutAnswer()
  }

  /**
   * Whether an attempt runs that may still be answered in the usual time: the failure of a copy, or of the attempt that was copied, leaves
   * the request to the other one, which is hedged once it is overdue.
   */
  private isAnswerExpected (): boolean {
    const now = this.parts.getNow()
    return [...this.running].some((attempt) => !attempt.isCutOff && now < (this.overdueAt.get(attempt) ?? -Infinity))
  }

  private recordFailure (result: AttemptResult, step: NextStep): void {
    if (step === NextStep.retryMaybeRun) this.uncertainFailure = describeResult(result)
    else this.refusal = describeResult(result)
    if (step === NextStep.retryMaybeRun && result.kind === 'answered' && result.head.isGenuine) this.fallbackAnswer = result
  }

  private finishWithoutAnswer (): FinalAnswer {
    if (this.fallbackAnswer !== undefined) return this.passAnswer(this.fallbackAnswer)
    return this.uncertainFailure === undefined ? this.refuse() : this.reportFailure(this.uncertainFailure)
  }

  // Only the elapsed time shows that a target has become unresponsive. Only idempotent requests may be hedged.
  private handleOverdue (): undefined {
    if (this.request.route.idempotent && this.running.size === 1) this.startAttempt()
    return undefined
  }

  // Once the first answer can no longer be awaited without being late, a second target may still give one on time.
  private handleCopyDue (): undefined {
    const now = this.parts.getNow()
    if (this.copy !== undefined || this.running.size !== 1 || this.sends >= this.request.route.maxAttempts || !this.parts.gate.allowSend(this.sends)) return undefined
    if (!this.placement.isIdentified(this.request)) return undefined
    const second = this.placement.choose(this.request, this.triedIds, now)
    const decision = this.placement.admitCopy(this.request, second, now)
    if (decision !== CopyDecision.send) {
      this.record.withheldCopy = decision
      this.parts.metrics.countCopy(decision)
    } else if (second !== undefined) {
      this.parts.metrics.countCopy('sent')
      this.copy = this.send(second, now)
    }
    return undefined
  }

  private handleLostLinks (): undefined {
    if (this.request.route.idempotent && this.running.size > 0 && [...this.running].every(({ isCutOff }) => isCutOff)) this.startAttempt()
    return undefined
  }

  private handleDeadline (): FinalAnswer {
    const wasSent = [...this.running].some((attempt) => attempt.sentAt !== undefined) || this.uncertainFailure !== undefined
    for (const attempt of this.running) {
      this.placement.observeOverrun(attempt, this.parts.getNow())
      this.recordAttempt(attempt, 'no answer in time')
      this.cancelAfterDeadline(attempt)
    }
    if (this.fallbackAnswer !== undefined) return this.passAnswer(this.fallbackAnswer)
    return wasSent
      ? { kind: 'failed', timedOut: true, reason: 'no answer in time', cause: RefusalReason.deadlinePassed }
      : { kind: 'refused', retryAfterMs: 0, reason: 'no time left', cause: RefusalReason.deadlinePassed }
  }

  // An idempotent request is cancelled at once: running it again costs only a target's time, and the target is freed. A request that
  // may run only once continues until its deadline, because cancelling it would leave its outcome unknown. Without that limit, one on a
  // connection that has gone silent would count as running at its target for ever.
  private handleCallerLeft (): FinalAnswer {
    const wasSent = [...this.running].some((attempt) => attempt.sentAt !== undefined) || this.uncertainFailure !== undefined
    for (const attempt of this.running) {
      this.recordAttempt(attempt, 'caller left')
      if (this.request.route.idempotent || attempt.sentAt === undefined) attempt.cancel('caller left')
      else setTimeout(() => { attempt.cancel('deadline') }, Math.max(0, this.request.deadline - this.parts.getNow()) + LATE_ANSWER_TIMEOUT_MS)
    }
    return { kind: 'abandoned', reason: 'caller left', wasSent, cause: RefusalReason.cancelled }
  }

  // The target stops by itself at the deadline that was sent to it; if its own answer arrives shortly after, the connection stays reusable.
  private cancelAfterDeadline (attempt: Attempt): void {
    if (attempt.sentAt === undefined) attempt.cancel('deadline')
    else setTimeout(() => { attempt.cancel('deadline') }, LATE_ANSWER_TIMEOUT_MS)
  }

  private passAnswer (result: Extract<AttemptResult, { kind: 'answered' }>, answered?: Attempt): FinalAnswer {
    if (this.copy !== undefined) this.parts.metrics.countCopy(answered === this.copy ? 'won' : 'wasted')
    for (const attempt of this.running) {
      this.recordAttempt(attempt, 'answered elsewhere')
      attempt.cancel('answered elsewhere')
    }
    return { kind: 'passed', head: result.head, body: result.body }
  }

  private reportFailure ({ text, cause }: ReturnType<typeof describeResult>): FinalAnswer {
    return { kind: 'failed', timedOut: false, reason: text, cause }
  }

  private refuse (): FinalAnswer {
    if (this.isUnidentified) return { kind: 'unidentified', reason: 'the key was taken away', cause: RefusalReason.unidentified }
    return { kind: 'refused', retryAfterMs: this.retryAfterMs, reason: this.refusal.text, cause: this.refusal.cause }
  }

  /** Sends the request to one more target. Returns false if none can answer in time or no further attempt is allowed. */
  private startAttempt (): boolean {
    const now = this.parts.getNow()
    const isRetry = this.sends > 0
    if (isRetry && this.sends >= this.request.route.maxAttempts) return false
    if (!this.parts.gate.allowSend(this.sends)) return this.refuseQuarantined(now)
    this.isUnidentified = !this.placement.isIdentified(this.request)
    if (this.isUnidentified) return false
    const choice = this.chooseAdmittedTarget(now)
    if (choice === undefined) return false
    if (isRetry && now + choice.expectedMs > this.request.deadline) return false
    if (isRetry && !this.placement.useRetry(now)) return false
    this.send(choice, now)
    return true
  }

  private refuseQuarantined (now: number): false {
    const { gate } = this.parts
    this.record.fingerprint ??= gate.fingerprint
    this.refusal = { text: 'targets ended under this request: it is quarantined', cause: RefusalReason.quarantined }
    this.retryAfterMs = gate.computeRetryAfter(now)
    return false
  }

  /** Returns the target for the request; undefined if there is none or if the request would wait there for too long to be on time. */
  private chooseAdmittedTarget (now: number): TargetChoice | undefined {
    const choice = this.placement.choose(this.request, this.triedIds, now)
    if (choice === undefined) return this.refuseWithoutChoice(now)
    this.expectedWaitMs = choice.waitMs
    const retryAfterMs = this.decideAdmission(choice, now)
    if (retryAfterMs === 0) return choice
    this.refusal = { text: 'every target of the key is full', cause: RefusalReason.queueFull }
    this.retryAfterMs = retryAfterMs
    return undefined
  }

  private refuseWithoutChoice (now: number): undefined {
    if (this.running.size === 0 && this.placement.hasLostLinks()) this.refusal = { text: 'the links to the targets that are left are lost, and no host that may carry the request reaches them', cause: RefusalReason.targetUnreachable }
    return this.refuseLimited(now)
  }

  // The Retry-After is drawn up to twice the wait, so that refused callers do not all return at the moment at which there is room for one.
  private refuseLimited (now: number): undefined {
    const waitMs = this.placement.computeLimitWait(now)
    if (waitMs === undefined) return undefined
    this.refusal = { text: 'every target that is left has reached its request limit or asked for a pause', cause: RefusalReason.targetLimited }
    this.retryAfterMs = Math.min(MAX_LIMIT_RETRY_AFTER_MS, Math.max(DEFAULT_RETRY_AFTER_MS, waitMs)) * (1 + this.parts.random())
    return undefined
  }

  private decideAdmission (choice: TargetChoice, now: number): number {
    const { arrivedAt, deadline, route } = this.request
    return decideAdmission({ choice, targetLatencyMs: route.targetLatencyMs, elapsedMs: now - arrivedAt, remainingMs: deadline - now })
  }

  private send (choice: TargetChoice, now: number): Attempt {
    const { codec, gate, getNow, links, carriers } = this.parts
    const attempt = new Attempt(this.request, choice, { codec, links, carriers, getNow, describeSuspect: () => gate.describe(), isIdentified: () => this.placement.isIdentified(this.request), isQuarantined: () => gate.isBlocked, claimSend: (now) => this.placement.claimSend(choice.target, now) })
    this.sends += 1
    this.triedIds.add(choice.target.entry.id)
    this.running.add(attempt)
    this.placement.observeSend(choice, now)
    if (this.request.route.idempotent && this.sends === 1) this.startCopyTimer(choice, now)
    if (this.request.route.idempotent) {
      const overdueMs = Math.max(MIN_HEDGE_DELAY_MS, choice.expectedMs * HEDGE_DELAY_RATIO)
      this.overdueAt.set(attempt, now + overdueMs)
      this.startTimer(overdueMs, { kind: 'overdue' })
    }
    this.attempts.push(attempt.run(this.placement.getPool(choice.target)).then((result) => {
      this.placement.observeFinish(choice)
      this.placement.observeResult(attempt, result, this.parts.getNow())
      if (attempt.sentAt !== undefined && !attempt.isCarrierFault) gate.observeResult(choice.target, result, this.parts.getNow())
      this.events.push({ kind: 'ended', attempt, result })
    }))
    return attempt
  }

  private startCopyTimer (choice: TargetChoice, now: number): void {
    const delayMs = this.placement.computeCopyDelay(this.request, choice, now)
    if (delayMs !== undefined) this.startTimer(delayMs, { kind: 'copy-due' })
  }

  private startTimer (delayMs: number, event: RequestEvent): void {
    this.timers.push(setTimeout(() => { this.events.push(event) }, Math.max(0, delayMs)))
  }

  private recordAttempt (attempt: Attempt, result: string): void {
    const { target, rank, outstanding, expectedMs, statedSlowness, statedAgeMs } = attempt.choice
    this.record.attempts.push({
      target: target.entry.id,
      region: target.entry.region,
      availabilityZone: target.entry.availabilityZone,
      rank,
      outstanding: Math.round(outstanding),
      expectedMs: Math.round(expectedMs),
      requestLimit: this.placement.findRequestLimit(target),
      statedSlowness: statedSlowness === undefined ? undefined : Math.round(statedSlowness * 100) / 100,
      statedAgeMs: statedAgeMs === undefined ? undefined : Math.round(statedAgeMs),
      isCopy: attempt === this.copy ? true : undefined,
      carrier: attempt.carrier,
      result,
      ms: Math.round(this.parts.getNow() - (attempt.sentAt ?? this.request.arrivedAt))
    })
  }
}
