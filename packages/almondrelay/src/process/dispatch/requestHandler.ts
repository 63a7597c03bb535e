import { createHash } from 'node:crypto'
import { match } from 'ts-pattern'
import type { Answer } from '../../request/answer.js'
import { buildRefusal } from '../../request/buildRefusal.js'
import type { CallerRequest } from '../../request/contract/callerRequest.js'
import type { HomeReference } from '../../request/contract/homeReference.js'
import { Outcome } from '../../request/outcome.js'
import { RefusalReason } from '../../request/refusalReason.js'
import type { Clock } from '../platform/clock.js'
import type { Journal } from '../journal/journal.js'
import type { JournalRequest } from '../journal/journalRequest.js'
import { createDeadlineSignal } from './createDeadlineSignal.js'
import type { HomeRelay } from './homeRelay.js'
import type { HostIdentity } from './hostIdentity.js'
import type { RequestExecutor } from './requestExecutor.js'
import type { ServiceRuntime } from './serviceRuntime.js'

interface HandlerParts {
  identity: HostIdentity
  clock: Clock
  journal: Journal
  executor: RequestExecutor
  relay: HomeRelay
  /** Aborts when the process ends without waiting for requests. */
  signal: AbortSignal
}

type RefusedDecision = { reason: RefusalReason, retryAfterMs?: number }

/** Handles validated requests; a non-idempotent request is run at most once for each id. */
export class RequestHandler {
  private readonly running = new Map<string, Promise<Answer>>()
  private inFlight = 0

  constructor (private readonly parts: HandlerParts) {}

  countInFlight (): number {
    return this.inFlight
  }

  /** `signal` aborts when the caller disconnects; a non-idempotent request then keeps running, as its caller may send it again. */
  async handle (request: CallerRequest, runtime: ServiceRuntime, signal: AbortSignal): Promise<Answer> {
    const deadlineAt = this.parts.clock.getNow() + request.deadlineMs
    this.inFlight += 1
    try {
      if (request.idempotent) return await this.parts.executor.execute(request, runtime, deadlineAt, signal)
      return await this.handleNonIdempotent(request, runtime, deadlineAt, signal)
    } finally {
      this.inFlight -= 1
    }
  }

  /** Ensures that the request with this id will not start on this host or, if it has started, waits for its answer. */
  async fence (request: JournalRequest, home: HomeReference, signal: AbortSignal): Promise<Answer> {
    if (!this.isHome(home)) return answerHomeGone(home)
    const decision = this.parts.journal.fence(request, this.parts.clock.getWallTime())
    if (decision.kind === 'answered') return decision.answer
    if (decision.kind === 'refuse') return answerJournalRefusal(decision)
    return await this.join(request.id, this.parts.clock.getNow() + FENCE_JOIN_TIMEOUT_MS, signal)
  }

  private async handleNonIdempotent (request: CallerRequest, runtime: ServiceRuntime, deadlineAt: number, signal: AbortSignal): Promise<Answer> {
    const { identity, journal, clock, relay } = this.parts
    const { home } = request
    if (home === undefined || request.idTime === undefined) return answerJournalRefusal({ reason: RefusalReason.missingHome })
    if (home.host !== identity.host) return await relay.relay(request, home, deadlineAt, signal)
    if (!this.isHome(home)) return answerHomeGone(home)
    const entry: JournalRequest = { id: request.id, idTime: request.idTime, attempt: request.attempt, fingerprint: computeFingerprint(request) }
    return await match(journal.begin(entry, clock.getWallTime()))
      .with({ kind: 'run' }, () => this.runJournaled(entry, request, runtime, deadlineAt))
      .with({ kind: 'join' }, () => this.join(request.id, deadlineAt, signal))
      .with({ kind: 'answered' }, async ({ answer }) => answer)
      .with({ kind: 'refuse' }, async (decision) => answerJournalRefusal(decision))
      .exhaustive()
  }

  private isHome (home: HomeReference): boolean {
    return home.host === this.parts.identity.host && home.incarnation === this.parts.identity.incarnation
  }

  private async runJournaled (entry: JournalRequest, request: CallerRequest, runtime: ServiceRuntime, deadlineAt: number): Promise<Answer> {
    const { executor, journal, clock, signal } = this.parts
    // An unexpected error must not leave the id marked as running for ever; the caller gets `unknown`, as the request may have run.
    const answer = executor.execute(request, runtime, deadlineAt, signal).catch(answerInternalError)
    this.running.set(entry.id, answer)
    const result = await answer
    journal.finish(entry, result, clock.getWallTime())
    this.running.delete(entry.id)
    return result
  }

  /** Waits for the answer of the running request until the deadline of the repeated one. */
  private async join (id: string, deadlineAt: number, signal: AbortSignal): Promise<Answer> {
    const running = this.running.get(id)
    if (running === undefined) return answerStillRunning()
    const deadline = createDeadlineSignal(this.parts.clock, deadlineAt, signal)
    const timeout = new Promise<Answer>((resolve) => {
      deadline.signal.addEventListener('abort', () => { resolve(answerStillRunning()) }, { once: true })
    })
    const answer = await Promise.race([running, timeout])
    deadline.clear()
    return answer
  }
}

/** Timeout of the wait for the answer of a request that is already running when it is fenced, in milliseconds. */
const FENCE_JOIN_TIMEOUT_MS = 5_000

/** Retry-After by refusal reason, in milliseconds; after `fenced`, the request may be sent under a new id at once. */
const RETRY_AFTER_MS_BY_REASON: Partial<Record<RefusalReason, number>> = { [RefusalReason.fenced]: 1 }

const journalMessages: Partial<Record<RefusalReason, string>> = {
  [RefusalReason.invalidHeader]: 'Idempotency-Key carries a time ahead of this host\'s clock: set the caller\'s clock',
  [RefusalReason.missingHome]: 'the request is not idempotent: send Idempotency-Key and Almondrelay-Home',
  [RefusalReason.idReused]: 'Idempotency-Key was used for a different request: make a new one',
  [RefusalReason.idExpired]: 'Idempotency-Key is older than what the journal keeps: ask the service whether the request ran',
  [RefusalReason.fenced]: 'it was told not-run before, or fenced: make a new Idempotency-Key',
  [RefusalReason.journalFull]: 'the journal is full: try again later'
}

/** The outcome of an expired id is `unknown`: the request may have run before its entry was dropped. */
function answerJournalRefusal ({ reason, retryAfterMs = RETRY_AFTER_MS_BY_REASON[reason] }: RefusedDecision): Answer {
  return buildRefusal({
    outcome: reason === RefusalReason.idExpired ? Outcome.unknown : Outcome.notRun,
    reason,
    message: journalMessages[reason] ?? reason,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs })
  })
}

function answerHomeGone (home: HomeReference): Answer {
  return buildRefusal({
    outcome: Outcome.unknown,
    reason: RefusalReason.homeGone,
    message: `incarnation ${home.incarnation} of host ${home.host} has ended and its journal with it: ask the service whether the request ran`
  })
}

function answerStillRunning (): Answer {
  return buildRefusal({
    outcome: Outcome.unknown,
    reason: RefusalReason.deadlinePassed,
    message: 'it still runs: send the same request again to get its answer',
    retryAfterMs: 1_000
  })
}

function answerInternalError (error: unknown): Answer {
  const message = error instanceof Error ? error.message : String(error)
  return buildRefusal({ outcome: Outcome.unknown, reason: RefusalReason.answerLost, message: `internal error (${message}): ask the service whether the request ran, and report the error` })
}

function computeFingerprint (request: CallerRequest): string {
  return createHash('sha256')
    .update(`${request.caller}\n${request.service}\n${request.method}\n${request.path}\n`)
    .update(request.body)
    .digest('base64')
}
