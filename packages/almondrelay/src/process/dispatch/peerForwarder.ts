import { Code, ConnectError, type Client } from '@connectrpc/connect'
import type { ForwardResponse, PeerService } from 'almondrelay-protocol'
import { match } from 'ts-pattern'
import type { Attempt } from '../../request/attempt.js'
import { Outcome } from '../../request/outcome.js'
import { RefusalReason } from '../../request/refusalReason.js'
import type { Clock } from '../platform/clock.js'
import type { AttemptResult } from './attemptResult.js'
import type { HeldCredit } from './heldCredit.js'
import type { HostDirectory } from './hostDirectory.js'
import { isConnectionRefused } from './isConnectionRefused.js'
import type { KnownHost } from './knownHost.js'
import type { PeerLinks } from './peerLinks.js'
import type { PeerSender } from './peerSender.js'

interface ForwarderParts {
  clock: Clock
  directory: HostDirectory
  links: PeerLinks
  sender: PeerSender
}

/**
 * How long a peer waits for the attempt to end before it answers a fence call, in milliseconds; shorter than the time that
 * the detection of a dead connection takes.
 */
const FENCE_WAIT_MS = 500
/** Delay between two fence calls, in milliseconds. */
const FENCE_RETRY_DELAY_MS = 50

/** Runs attempts on targets that a peer owns. */
export class PeerForwarder {
  constructor (private readonly parts: ForwarderParts) {}

  async forward (attempt: Attempt, credit: HeldCredit, signal: AbortSignal): Promise<AttemptResult> {
    const { clock, directory, links } = this.parts
    const peer = directory.find(credit.host)
    if (peer === undefined) return buildNotRun(RefusalReason.noCredit, `host ${credit.host} is no longer known: try again`)
    const now = clock.getNow()
    if (now >= attempt.deadlineAt) return buildNotRun(RefusalReason.deadlinePassed, 'the deadline passed before the request was sent: allow more time')
    // If this process was suspended while it held the credit, the slot may have been granted to another host.
    if (now >= credit.expiresAt) return buildNotRun(RefusalReason.noCredit, 'the credit lapsed before the request was sent: try again')
    try {
      const response = await links.get(peer.peerAddress).forward(this.buildRequest(attempt, credit, now), { signal })
      return describeResponse(response)
    } catch (error) {
      if (isConnectionRefused(error)) {
        directory.observeRefused(peer.name, peer.incarnation)
        return buildNotRun(RefusalReason.noCredit, `host ${credit.host} has ended: try again`)
      }
      if (error instanceof ConnectError && error.code === Code.FailedPrecondition) return buildNotRun(RefusalReason.noCredit, error.rawMessage)
      links.drop(peer.peerAddress)
      return await this.fence(attempt, peer, signal)
    }
  }

  /**
   * Fences an attempt after the connection to the peer was lost, when this host can't tell whether the attempt started.
   * The peer, called on a new connection, either ensures that the attempt never starts or returns its answer. The
   * outcome is unknown only if the peer's process has ended or the peer gives no such answer before the deadline.
   */
  private async fence (attempt: Attempt, peer: KnownHost, signal: AbortSignal): Promise<AttemptResult> {
    const { clock, links, directory } = this.parts
    while (!signal.aborted && clock.getNow() < attempt.deadlineAt) {
      const link = links.open(peer.peerAddress)
      try {
        const result = await this.sendFence(link.client, attempt, peer, signal)
        if (result !== undefined) return result
      } catch (error) {
        if (isConnectionRefused(error)) {
          directory.observeRefused(peer.name, peer.incarnation)
          return buildUnknown(RefusalReason.answerLost, `host ${peer.name} ended while it held the request: ask the service whether it ran`)
        }
      } finally {
        link.close()
      }
      await clock.sleep(FENCE_RETRY_DELAY_MS, signal)
    }
    return buildUnknown(RefusalReason.answerLost, `host ${peer.name} could not be asked before the deadline: ask the service whether it ran`)
  }

  private async sendFence (client: Client<typeof PeerService>, attempt: Attempt, peer: KnownHost, signal: AbortSignal): Promise<AttemptResult | undefined> {
    const response = await client.fence({
      sender: this.parts.sender,
      attemptId: attempt.attemptId,
      receiverIncarnation: BigInt(peer.incarnation),
      waitMs: FENCE_WAIT_MS
    }, { signal, timeoutMs: FENCE_WAIT_MS * 2 })
    return match(response.state)
      .with('not-run', () => buildNotRun(RefusalReason.noCredit, `host ${peer.name} had not started it: try again`))
      .with('answered', () => response.answer === undefined ? undefined : describeResponse(response.answer))
      .with('gone', () => buildUnknown(RefusalReason.answerLost, `host ${peer.name} was restarted while it held the request: ask the service whether it ran`))
      .otherwise(() => undefined)
  }

  private buildRequest (attempt: Attempt, credit: HeldCredit, now: number): Parameters<Client<typeof PeerService>['forward']>[0] {
    return {
      sender: this.parts.sender,
      attemptId: attempt.attemptId,
      creditId: credit.id,
      requestId: attempt.requestId,
      service: attempt.service,
      caller: attempt.caller,
      method: attempt.method,
      path: attempt.path,
      headers: attempt.headers,
      body: attempt.body,
      deadlineMs: Math.max(1, Math.floor(attempt.deadlineAt - now)),
      idempotent: attempt.idempotent,
      target: credit.target
    }
  }
}

function describeResponse (response: ForwardResponse): AttemptResult {
  const target = response.target === '' ? {} : { target: response.target }
  return match(response.outcome)
    .with(Outcome.run, (): AttemptResult => ({ kind: 'answered', status: response.status, headers: response.headers, body: response.body, target: response.target }))
    .with(Outcome.notRun, (): AttemptResult => ({
      kind: 'not-run',
      reason: response.reason as RefusalReason,
      message: new TextDecoder().decode(response.body),
      ...(response.retryAfterMs === 0 ? {} : { retryAfterMs: response.retryAfterMs }),
      ...target
    }))
    .otherwise((): AttemptResult => ({ kind: 'unknown', reason: response.reason as RefusalReason, message: new TextDecoder().decode(response.body), ...target }))
}

function buildNotRun (reason: RefusalReason, message: string): AttemptResult {
  return { kind: 'not-run', reason, message }
}

function buildUnknown (reason: RefusalReason, message: string): AttemptResult {
  return { kind: 'unknown', reason, message }
}
