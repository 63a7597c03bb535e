import { Code, ConnectError } from '@connectrpc/connect'
import type { Credit, FenceRequest, ForwardRequest, RelayRequest, RequestCreditsRequest } from 'almondrelay-protocol'
import type { Answer } from '../../request/answer.js'
import type { Attempt } from '../../request/attempt.js'
import { buildRefusal } from '../../request/buildRefusal.js'
import { parseCallerRequest } from '../../request/contract/parseCallerRequest.js'
import { makeRoute } from '../../request/makeRoute.js'
import { Outcome } from '../../request/outcome.js'
import { RefusalReason } from '../../request/refusalReason.js'
import type { Clock } from '../platform/clock.js'
import type { AttemptTable } from '../journal/attemptTable.js'
import type { AttemptResult } from './attemptResult.js'
import type { HostIdentity } from './hostIdentity.js'
import type { RequestHandler } from './requestHandler.js'
import type { Services } from './services.js'
import type { SlotPool } from './slotPool.js'
import type { TargetRunner } from './targetRunner.js'

interface PeerRequestsParts {
  identity: HostIdentity
  clock: Clock
  services: Services
  slots: SlotPool
  attempts: AttemptTable
  runner: TargetRunner
  handler: RequestHandler
  maxDeadlineMs: number
}

interface CreditBatch {
  credits: Array<Pick<Credit, 'id' | 'target'>>
  validMs: number
  reason: string
}

interface FenceAnswer {
  state: 'not-run' | 'running' | 'answered' | 'gone'
  answer?: Answer
}

/** Answers the calls of peers that concern requests: for credits, forwarded attempts, fences, and requests whose home is this host. */
export class PeerRequests {
  private readonly running = new Map<string, Promise<Answer>>()

  constructor (private readonly parts: PeerRequestsParts) {}

  grantCredits (request: RequestCreditsRequest): CreditBatch {
    const { clock, services, slots } = this.parts
    const now = clock.getNow()
    const runtime = services.find(request.service)
    if (runtime === undefined) return { credits: [], validMs: 0, reason: RefusalReason.unknownService }
    // Waiting requests of this host's own callers take precedence; a peer that is granted no credit asks another host.
    const hasWaitingCallers = [...runtime.queues.values()].some((regionQueue) => regionQueue.region === this.parts.identity.region && regionQueue.countWaiting() > 0)
    const sender = { host: request.sender?.host ?? '', region: request.sender?.region ?? '' }
    const isUsable = (target: string): boolean => runtime.chooser.allow(target, now)
    const grant = hasWaitingCallers ? { credits: [] } : slots.grantCredits(request.service, sender, request.wanted, now, isUsable)
    const { credits, reason = RefusalReason.noCredit } = grant
    const validMs = Math.max(0, Math.floor(Math.min(...credits.map((credit) => credit.expiresAt - now))))
    return { credits, validMs: credits.length === 0 ? 0 : validMs, reason: credits.length === 0 ? reason : '' }
  }

  async forward (request: ForwardRequest): Promise<Answer> {
    const { clock, attempts } = this.parts
    if (!attempts.begin(request.attemptId, clock.getNow())) {
      return buildRefusal({ outcome: Outcome.notRun, reason: RefusalReason.fenced, message: 'this attempt was fenced or sent before: make a new one' })
    }
    const answer = this.run(request)
    this.running.set(request.attemptId, answer)
    try {
      const result = await answer
      attempts.finish(request.attemptId, result, clock.getNow())
      return result
    } finally {
      this.running.delete(request.attemptId)
    }
  }

  async fence (request: FenceRequest, signal: AbortSignal): Promise<FenceAnswer> {
    const { attempts, clock, identity } = this.parts
    // The attempt was sent to an earlier incarnation of this host, and may have run there. The attempt table of this
    // incarnation doesn't know the attempt, so only the comparison of incarnations prevents a wrong `not-run`.
    if (Number(request.receiverIncarnation) !== identity.incarnation) return { state: 'gone' }
    const state = attempts.fence(request.attemptId, clock.getNow())
    if (state.kind === 'fenced') return { state: 'not-run' }
    if (state.kind === 'answered') return { state: 'answered', answer: state.answer }
    const answer = await Promise.race([this.running.get(request.attemptId), clock.sleep(request.waitMs, signal)])
    return answer === undefined ? { state: 'running' } : { state: 'answered', answer }
  }

  async relay (request: RelayRequest, signal: AbortSignal): Promise<Answer> {
    const { services, handler, maxDeadlineMs } = this.parts
    const runtime = services.find(request.service)
    if (runtime === undefined) return buildRefusal({ outcome: Outcome.notRun, reason: RefusalReason.unknownService, message: `no service '${request.service}' here: check the name` })
    const raw = { method: request.method, service: request.service, path: request.path, headers: request.headers, body: request.body }
    const parsed = parseCallerRequest(raw, runtime.spec, { maxDeadlineMs }, () => '')
    if ('refusal' in parsed) return parsed.refusal
    // Prevents two hosts that disagree about the request's home from relaying the request to each other endlessly.
    if (parsed.request.home?.host !== this.parts.identity.host) throw new ConnectError('this host is not the home of the request', Code.InvalidArgument)
    return await handler.handle({ ...parsed.request, deadlineMs: request.deadlineMs }, runtime, signal)
  }

  private async run (request: ForwardRequest): Promise<Answer> {
    const { clock, services, slots, runner, maxDeadlineMs } = this.parts
    const now = clock.getNow()
    const deadlineAt = now + Math.min(request.deadlineMs, maxDeadlineMs)
    const used = slots.useCredit(request.creditId, request.attemptId, deadlineAt, now)
    if (used === undefined) return buildRefusal({ outcome: Outcome.notRun, reason: RefusalReason.noCredit, message: 'the credit lapsed or was used: ask for another' })
    const runtime = services.find(used.service)
    if (runtime === undefined) {
      slots.release(request.attemptId, now)
      return buildRefusal({ outcome: Outcome.notRun, reason: RefusalReason.unknownService, message: `service ${used.service} was removed: check the name` })
    }
    const result = await runner.run(buildAttempt(request, deadlineAt), used.target, runtime)
    services.advance(clock.getNow())
    return buildAnswer(result)
  }
}

function buildAttempt (request: ForwardRequest, deadlineAt: number): Attempt {
  return {
    attemptId: request.attemptId,
    requestId: request.requestId,
    service: request.service,
    caller: request.caller,
    route: makeRoute(request.method, request.path),
    method: request.method,
    path: request.path,
    headers: request.headers.map(({ name, value }) => ({ name, value })),
    body: request.body,
    idempotent: request.idempotent,
    deadlineAt
  }
}

function buildAnswer (result: AttemptResult): Answer {
  if (result.kind === 'answered') return { outcome: Outcome.run, status: result.status, headers: result.headers, body: result.body, target: result.target }
  return buildRefusal({ outcome: result.kind === 'not-run' ? Outcome.notRun : Outcome.unknown, ...result })
}
