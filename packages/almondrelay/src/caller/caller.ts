import { Agent } from 'undici'
import { createDeadlineSignal } from '../process/dispatch/createDeadlineSignal.js'
import { AlmondrelayError } from '../process/errors/almondrelayError.js'
import type { Answer } from '../request/answer.js'
import { buildRefusal } from '../request/buildRefusal.js'
import { Outcome } from '../request/outcome.js'
import { RefusalReason } from '../request/refusalReason.js'
import { sortByWeightedDraw } from '../version/weights/sortByWeightedDraw.js'
import type { CallerCall } from './callerCall.js'
import type { CallerHost } from './callerHost.js'
import type { CallerOptions } from './callerOptions.js'
import { createId } from './createId.js'
import { LookupCache } from './lookupCache.js'
import { sendToHost } from './sendToHost.js'

interface CallState {
  call: CallerCall
  id: string
  attempt: number
  deadlineAt: number
  /** Set once a byte of the current attempt may have reached the host. */
  home: CallerHost | undefined
  /** Hosts that could not be reached in this attempt. */
  failed: Set<string>
  last: Answer
  /** Last answer after which the call may have run. */
  lastUnknown: Answer | undefined
  signal: AbortSignal
}

const KEEP_ALIVE_TIMEOUT_MS = 10_000
const RETRY_DELAY_MS = 100
const MAX_RETRY_JITTER_MS = 500

/**
 * Client that follows the caller contract: looks up hosts, sends requests with id, home, attempt and
 * deadline, and retries as the contract allows. A non-idempotent call keeps its id and home until the
 * home answers `not-run`; only then is it sent with the next attempt number, possibly to another host.
 */
export class Caller {
  private readonly agent = new Agent({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, headersTimeout: 0, bodyTimeout: 0 })
  private readonly lookups: LookupCache

  constructor (private readonly options: CallerOptions) {
    this.lookups = new LookupCache(options.hosts, options.clock, this.agent)
  }

  /** Runs a call; always resolves by the deadline, with the last known answer. */
  async call (call: CallerCall, signal: AbortSignal): Promise<Answer & { id: string }> {
    const { clock } = this.options
    const deadlineAt = clock.getNow() + call.deadlineMs
    const deadline = createDeadlineSignal(clock, deadlineAt, signal)
    const state: CallState = {
      call,
      id: createId(clock.getWallTime()),
      attempt: 0,
      deadlineAt,
      home: undefined,
      failed: new Set(),
      last: buildRefusal({ outcome: Outcome.notRun, reason: RefusalReason.notReady, message: 'no entry host could be reached: check their addresses' }),
      lastUnknown: undefined,
      signal: deadline.signal
    }
    try {
      while (!deadline.signal.aborted && clock.getNow() < deadlineAt) {
        if (await this.advance(state)) break
      }
      return { ...findFinalAnswer(state), id: state.id }
    } finally {
      deadline.clear()
    }
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  /** Sends the request once; returns true once the answer is final. */
  private async advance (state: CallState): Promise<boolean> {
    const host = await this.chooseHost(state)
    if (host === undefined) {
      await this.options.clock.sleep(RETRY_DELAY_MS, state.signal)
      state.failed.clear()
      return false
    }
    const home = state.home ?? host
    const result = await sendToHost({ ...state, caller: this.options.caller, host, home, remainingMs: state.deadlineAt - this.options.clock.getNow(), dispatcher: this.agent })
    if (result.kind === 'not-sent') {
      state.failed.add(host.name)
      this.lookups.remove(state.call.service)
      return false
    }
    state.home = home
    if (result.kind === 'lost') return await this.handleLostConnection(state, host)
    this.setLast(state, result.answer)
    return await this.handleAnswer(state, result.answer)
  }

  private setLast (state: CallState, answer: Answer): void {
    state.last = answer
    if (answer.outcome === Outcome.unknown) state.lastUnknown = answer
  }

  private async handleAnswer (state: CallState, answer: Answer): Promise<boolean> {
    if (answer.outcome === Outcome.run || answer.retryAfterMs === undefined) return true
    const waitMs = answer.retryAfterMs + this.options.random() * MAX_RETRY_JITTER_MS
    if (this.options.clock.getNow() + waitMs >= state.deadlineAt) return true
    await this.options.clock.sleep(waitMs, state.signal)
    if (answer.outcome === Outcome.notRun) {
      this.beginAttempt(state, answer)
      state.home = undefined
      this.lookups.remove(state.call.service)
    }
    return false
  }

  /** Begins a new attempt, under a new id if the home has fenced the current one and can no longer distinguish its attempts. */
  private beginAttempt (state: CallState, answer: Answer): void {
    state.attempt += 1
    if (answer.reason !== RefusalReason.fenced) return
    state.id = createId(this.options.clock.getWallTime())
    state.attempt = 0
  }

  /**
   * Handles a lost connection: the same request is sent again through any host, to the same home unless it is
   * idempotent, until the deadline.
   */
  private async handleLostConnection (state: CallState, host: CallerHost): Promise<boolean> {
    this.setLast(state, buildRefusal({ outcome: Outcome.unknown, reason: RefusalReason.answerLost, message: `the connection to host ${host.name} was lost: ask the service whether it ran` }))
    state.failed.add(host.name)
    if (state.call.idempotent) state.home = undefined
    await this.options.clock.sleep(RETRY_DELAY_MS, state.signal)
    return false
  }

  /** Chooses the home if it can be reached, else another host by the weights of the look-up. */
  private async chooseHost (state: CallState): Promise<CallerHost | undefined> {
    const { home, failed } = state
    if (home !== undefined && !failed.has(home.name)) return home
    try {
      const hosts = await this.lookups.find(state.call.service, state.signal)
      const usable = hosts.filter((host) => !failed.has(host.name))
      const [first] = sortByWeightedDraw(usable.map(({ name, weight }) => ({ host: name, weight })), this.options.random)
      return usable.find((host) => host.name === first?.host)
    } catch (error) {
      if (error instanceof AlmondrelayError) return undefined
      throw error
    }
  }
}

/**
 * An idempotent call goes to several homes, and one that says `not-run` doesn't speak for those before it. The home of any other call
 * knows of each attempt.
 */
function findFinalAnswer ({ call, last, lastUnknown }: CallState): Answer {
  return call.idempotent && last.outcome === Outcome.notRun ? lastUnknown ?? last : last
}
