import { match } from 'ts-pattern'
import type { Attempt } from '../../request/attempt.js'
import { HeaderName } from '../../request/contract/headerName.js'
import { RefusalReason } from '../../request/refusalReason.js'
import type { TargetReply } from '../../request/targetReply.js'
import type { TargetSpec } from '../../version/resources/targetSpec.js'
import type { Clock } from '../platform/clock.js'
import type { AttemptResult } from './attemptResult.js'
import { createDeadlineSignal } from './createDeadlineSignal.js'
import type { ServiceRuntime } from './serviceRuntime.js'
import type { SlotPool } from './slotPool.js'
import type { TargetSender } from './targetSender.js'

/** Time that a target has to stop working on a request after its connection was closed. */
const CANCELLATION_GRACE_MS = 500

interface RunnerParts {
  clock: Clock
  slots: SlotPool
  sender: TargetSender
  /** Aborts when the process ends. */
  signal: AbortSignal
}

/** Runs attempts on the targets that this host owns; the caller of `run` has already acquired the slot. */
export class TargetRunner {
  private running = 0

  constructor (private readonly parts: RunnerParts) {}

  countRunning (): number {
    return this.running
  }

  /** Sends the attempt to its target, and releases the slot when the attempt has ended. */
  async run (attempt: Attempt, targetName: string, runtime: ServiceRuntime, signal?: AbortSignal): Promise<AttemptResult> {
    const { clock, slots } = this.parts
    const now = clock.getNow()
    const target = runtime.findTarget(targetName)
    if (target === undefined) {
      slots.release(attempt.attemptId, now)
      return { kind: 'not-run', reason: RefusalReason.noTarget, message: `target ${targetName} was removed: try again` }
    }
    // If the process was suspended after admission, the request may have been refused or fenced meanwhile, and the
    // target must not run it. The monotonic clock goes on during a suspension, so the deadline check detects this.
    if (now >= attempt.deadlineAt) {
      slots.release(attempt.attemptId, now)
      return { kind: 'not-run', reason: RefusalReason.deadlinePassed, message: 'the deadline passed before the request was sent: allow more time', target: targetName }
    }
    return await this.send(attempt, target, runtime, now, signal)
  }

  private async send (attempt: Attempt, target: TargetSpec, runtime: ServiceRuntime, startedAt: number, signal?: AbortSignal): Promise<AttemptResult> {
    const { clock, sender } = this.parts
    const { chooser } = runtime
    chooser.start(target.name, startedAt, runtime.findCost(attempt.route))
    this.running += 1
    const deadline = createDeadlineSignal(clock, attempt.deadlineAt, signal)
    const result = await sender.send(target.address, buildTargetRequest(attempt, runtime.spec.maxBodyBytes, startedAt), deadline.signal)
    deadline.clear()
    this.running -= 1
    const now = clock.getNow()
    chooser.finish(target.name, {
      latencyMs: now - startedAt,
      ok: result.kind === 'answered' && result.status < 500,
      shed: result.kind === 'shed',
      cancelled: result.kind === 'lost' && deadline.signal.aborted
    }, now)
    this.releaseSlot(attempt, result, now)
    return describeResult(result, target.name)
  }

  /**
   * Releases the slot of an attempt. If the answer was lost, the target may still be working, and reusing the slot at
   * once would run more requests on the target than it has slots. The slot then stays occupied until the target has had
   * time to treat the closed connection as a cancellation, or until the deadline that was sent to the target has passed.
   */
  private releaseSlot (attempt: Attempt, result: TargetReply, now: number): void {
    const { clock, slots, signal } = this.parts
    if (result.kind !== 'lost') {
      slots.release(attempt.attemptId, now)
      return
    }
    const waitMs = Math.max(0, Math.min(attempt.deadlineAt - now, CANCELLATION_GRACE_MS))
    void clock.sleep(waitMs, signal).then(() => { slots.release(attempt.attemptId, clock.getNow()) })
  }
}

function buildTargetRequest (attempt: Attempt, maxAnswerBytes: number, now: number): Parameters<TargetSender['send']>[1] {
  const forwardedHeaders = attempt.headers.filter((header) => !isReplacedHeader(header.name))
  return {
    method: attempt.method,
    path: attempt.path,
    headers: [
      ...forwardedHeaders,
      { name: HeaderName.id, value: attempt.requestId },
      { name: HeaderName.caller, value: attempt.caller },
      { name: HeaderName.deadline, value: String(Math.max(1, Math.floor(attempt.deadlineAt - now))) }
    ],
    body: attempt.body,
    idempotent: attempt.idempotent,
    maxAnswerBytes
  }
}

function isReplacedHeader (name: string): boolean {
  const lowerCaseName = name.toLowerCase()
  return lowerCaseName === 'host' || lowerCaseName === 'expect' || lowerCaseName === HeaderName.id || lowerCaseName === HeaderName.caller || lowerCaseName === HeaderName.deadline || lowerCaseName === HeaderName.home
}

function describeResult (result: TargetReply, target: string): AttemptResult {
  return match<TargetReply, AttemptResult>(result)
    .with({ kind: 'answered' }, ({ status, headers, body }) => ({ kind: 'answered', status, headers, body, target }))
    .with({ kind: 'not-sent' }, ({ message }) => ({ kind: 'not-run', reason: RefusalReason.targetUnreachable, message: `no connection to the target (${message}): try again`, target }))
    .with({ kind: 'shed' }, ({ retryAfterMs }) => ({ kind: 'not-run', reason: RefusalReason.targetRefused, message: 'the target refused the request: try again', target, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }))
    .with({ kind: 'too-large' }, ({ bytes }) => ({ kind: 'unknown', reason: RefusalReason.answerTooLarge, message: `the answer has ${bytes} bytes or more: raise maxBodyBytes of the service, or ask for less`, target }))
    .with({ kind: 'lost' }, ({ message, broken }) => ({
      kind: 'unknown',
      reason: broken ? RefusalReason.answerBroken : RefusalReason.answerLost,
      message: `the target's answer was lost (${message}): ask the service whether it ran`,
      target
    }))
    .exhaustive()
}
