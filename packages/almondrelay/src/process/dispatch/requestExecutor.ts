import { match } from 'ts-pattern'
import type { Answer } from '../../request/answer.js'
import type { Attempt } from '../../request/attempt.js'
import { buildRefusal } from '../../request/buildRefusal.js'
import type { CallerRequest } from '../../request/contract/callerRequest.js'
import { makeRoute } from '../../request/makeRoute.js'
import { Outcome } from '../../request/outcome.js'
import { RefusalReason } from '../../request/refusalReason.js'
import { AttemptOutcome } from '../../request/retry/attemptOutcome.js'
import { decideRetry } from '../../request/retry/decideRetry.js'
import type { Clock } from '../platform/clock.js'
import type { AttemptResult } from './attemptResult.js'
import { createDeadlineSignal } from './createDeadlineSignal.js'
import type { DecisionRecorder } from './decisionRecorder.js'
import type { HostIdentity } from './hostIdentity.js'
import type { RegionQueue } from './regionQueue.js'
import type { QueueRefusal } from './queueRefusal.js'
import type { PeerForwarder } from './peerForwarder.js'
import type { RequestPlacer } from './requestPlacer.js'
import type { ServiceRuntime } from './serviceRuntime.js'
import type { SlotGrant } from './slotGrant.js'
import type { TargetRunner } from './targetRunner.js'

interface ExecutorParts {
  identity: HostIdentity
  clock: Clock
  placer: RequestPlacer
  runner: TargetRunner
  forwarder: PeerForwarder
  recorder: DecisionRecorder
}

interface Execution {
  request: CallerRequest
  runtime: ServiceRuntime
  deadlineAt: number
  attempts: number
  /** Targets of this host on which an attempt was run. */
  triedTargets: Set<string>
  /** Whether any attempt may have run; stays true if a later attempt is not started. */
  mayHaveRun: boolean
  signal: AbortSignal
}

/** Runs requests whose home is this host, or that need no home: chooses the queue, waits for a slot, runs attempts and retries. */
export class RequestExecutor {
  private attemptCount = 0

  constructor (private readonly parts: ExecutorParts) {}

  /** Resolves with the final answer by the deadline, also when the request fails. */
  async execute (request: CallerRequest, runtime: ServiceRuntime, deadlineAt: number, signal: AbortSignal): Promise<Answer> {
    const deadline = createDeadlineSignal(this.parts.clock, deadlineAt, signal)
    const execution: Execution = { request, runtime, deadlineAt, attempts: 0, triedTargets: new Set(), mayHaveRun: false, signal: deadline.signal }
    try {
      return await this.runAttempts(execution)
    } finally {
      deadline.clear()
    }
  }

  private async runAttempts (execution: Execution): Promise<Answer> {
    for (;;) {
      const placement = this.parts.placer.place(execution.request, execution.runtime, execution.deadlineAt)
      if (placement.kind === 'refused') return this.answerRefusal(placement, execution)
      const result = await this.runAttempt(execution, placement.regionQueue)
      if (result.kind === 'refused') return this.answerRefusal(result, execution)
      if (result.kind === 'answered') return buildAnswer(result)
      execution.mayHaveRun ||= result.kind === 'unknown'
      if (!this.allowRetry(execution, result)) return this.answerFailure(result, execution)
    }
  }

  private async runAttempt (execution: Execution, regionQueue: RegionQueue): Promise<AttemptResult | QueueRefusal> {
    const { clock } = this.parts
    const attempt = this.buildAttempt(execution)
    const queued = { id: attempt.attemptId, caller: attempt.caller, key: execution.request.key, route: attempt.route, deadlineAt: execution.deadlineAt, arrivedAt: clock.getNow() }
    const grant = await regionQueue.admit(queued, attempt.requestId, execution.triedTargets, execution.signal)
    if (grant.kind === 'refused') return grant
    execution.attempts += 1
    const startedAt = clock.getNow()
    const result = await this.run(attempt, grant, execution)
    const now = clock.getNow()
    regionQueue.finish(queued, result.kind === 'answered' ? now - startedAt : undefined)
    if (result.kind === 'answered') execution.runtime.retryBudget.recordServed(now)
    return result
  }

  private async run (attempt: Attempt, grant: SlotGrant, execution: Execution): Promise<AttemptResult> {
    if (grant.kind === 'credit') return await this.parts.forwarder.forward(attempt, grant.credit, execution.signal)
    execution.triedTargets.add(grant.target)
    return await this.parts.runner.run(attempt, grant.target, execution.runtime, execution.signal)
  }

  private buildAttempt ({ request, deadlineAt }: Execution): Attempt {
    const { host, incarnation } = this.parts.identity
    this.attemptCount += 1
    return {
      attemptId: `${host};${incarnation};${this.attemptCount}`,
      requestId: request.id,
      service: request.service,
      caller: request.caller,
      route: makeRoute(request.method, request.path),
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      idempotent: request.idempotent,
      deadlineAt
    }
  }

  private allowRetry (execution: Execution, result: Exclude<AttemptResult, { kind: 'answered' }>): boolean {
    if (execution.signal.aborted || result.reason === RefusalReason.answerTooLarge) return false
    const input = {
      idempotent: execution.request.idempotent,
      bytesMayHaveLeft: result.kind === 'unknown',
      outcome: describeOutcome(result),
      attempts: execution.attempts,
      deadlineAt: execution.deadlineAt,
      costMs: 1
    }
    const decision = decideRetry(input, execution.runtime.retryBudget, this.parts.clock.getNow())
    this.parts.recorder.record({ decision: 'retry', requestId: execution.request.id, input: { ...input, failure: result.reason, target: result.target ?? '' }, output: { ...decision } })
    return decision.kind === 'retry'
  }

  /** Builds the answer to a request that got no slot; the outcome depends on whether an earlier attempt may have run. */
  private answerRefusal (refusal: QueueRefusal, execution: Execution): Answer {
    const isPastDeadline = this.parts.clock.getNow() >= execution.deadlineAt
    const reason = refusal.reason === RefusalReason.cancelled && isPastDeadline ? RefusalReason.deadlinePassed : refusal.reason
    return buildRefusal({
      outcome: execution.mayHaveRun ? Outcome.unknown : Outcome.notRun,
      reason,
      message: `not started: ${reason}; try again after ${refusal.retryAfterMs} ms`,
      retryAfterMs: refusal.retryAfterMs
    })
  }

  private answerFailure (result: Exclude<AttemptResult, { kind: 'answered' }>, execution: Execution): Answer {
    return buildRefusal({
      outcome: execution.mayHaveRun ? Outcome.unknown : Outcome.notRun,
      reason: result.reason,
      message: result.message,
      ...(result.kind === 'not-run' ? { retryAfterMs: result.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS } : {}),
      ...(result.target === undefined ? {} : { target: result.target })
    })
  }
}

/** Retry-After, in milliseconds, for an attempt that was not run and whose failure states none. */
const DEFAULT_RETRY_AFTER_MS = 500

function describeOutcome (result: Exclude<AttemptResult, { kind: 'answered' }>): AttemptOutcome {
  return match(result.reason)
    .with(RefusalReason.targetUnreachable, () => AttemptOutcome.unreachable)
    .with(RefusalReason.answerBroken, () => AttemptOutcome.broken)
    .otherwise(() => result.kind === 'not-run' ? AttemptOutcome.refused : AttemptOutcome.lost)
}

function buildAnswer (result: Extract<AttemptResult, { kind: 'answered' }>): Answer {
  return { outcome: Outcome.run, status: result.status, headers: result.headers, body: result.body, target: result.target }
}
