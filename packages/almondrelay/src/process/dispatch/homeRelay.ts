import type { Answer } from '../../request/answer.js'
import { buildRefusal } from '../../request/buildRefusal.js'
import type { CallerRequest } from '../../request/contract/callerRequest.js'
import type { HomeReference } from '../../request/contract/homeReference.js'
import { Outcome } from '../../request/outcome.js'
import { RefusalReason } from '../../request/refusalReason.js'
import type { Clock } from '../platform/clock.js'
import { createDeadlineSignal } from './createDeadlineSignal.js'
import type { HostDirectory } from './hostDirectory.js'
import { isConnectionRefused } from './isConnectionRefused.js'
import type { KnownHost } from './knownHost.js'
import { toAnswer } from './toAnswer.js'
import type { PeerLinks } from './peerLinks.js'
import type { PeerSender } from './peerSender.js'

interface HomeRelayParts {
  clock: Clock
  directory: HostDirectory
  links: PeerLinks
  sender: PeerSender
}

/** Delay between a failed call to the home and the next one, in milliseconds. */
const RELAY_RETRY_DELAY_MS = 100
/** How long failed calls to the home are retried, in milliseconds; after that, the caller gets `unknown` and may try again. */
const RELAY_RETRY_PERIOD_MS = 3_000

/**
 * Relays a non-idempotent request to its home, the only host that may start it. Relaying the request twice is
 * harmless, because the home's journal joins the copies. If the home's process has ended or the home isn't known,
 * the outcome is `unknown` at once, and nothing is run on this host.
 */
export class HomeRelay {
  constructor (private readonly parts: HomeRelayParts) {}

  async relay (request: CallerRequest, home: HomeReference, deadlineAt: number, signal: AbortSignal): Promise<Answer> {
    const deadline = createDeadlineSignal(this.parts.clock, deadlineAt, signal)
    try {
      return await this.relayWithRetry(request, home, deadlineAt, deadline.signal)
    } finally {
      deadline.clear()
    }
  }

  private async relayWithRetry (request: CallerRequest, home: HomeReference, deadlineAt: number, signal: AbortSignal): Promise<Answer> {
    const { clock, directory, links } = this.parts
    const retryUntil = clock.getNow() + RELAY_RETRY_PERIOD_MS
    while (!signal.aborted && clock.getNow() < retryUntil) {
      const peer = directory.find(home.host)
      if (peer === undefined) return answerUnreachable(home)
      if (peer.incarnation > home.incarnation || peer.gone) return answerGone(home)
      try {
        return await this.sendToHome(peer, request, home, deadlineAt, signal)
      } catch (error) {
        if (isConnectionRefused(error)) {
          directory.observeRefused(peer.name, peer.incarnation)
          return answerGone(home)
        }
        links.drop(peer.peerAddress)
      }
      await clock.sleep(RELAY_RETRY_DELAY_MS, signal)
    }
    return answerUnreachable(home)
  }

  private async sendToHome (peer: KnownHost, request: CallerRequest, home: HomeReference, deadlineAt: number, signal: AbortSignal): Promise<Answer> {
    const remainingMs = Math.max(1, Math.floor(deadlineAt - this.parts.clock.getNow()))
    const response = await this.parts.links.get(peer.peerAddress).relay({
      sender: this.parts.sender,
      service: request.service,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      deadlineMs: remainingMs,
      homeIncarnation: BigInt(home.incarnation)
    }, { signal, timeoutMs: remainingMs })
    return toAnswer(response)
  }
}

function answerGone (home: HomeReference): Answer {
  return buildRefusal({
    outcome: Outcome.unknown,
    reason: RefusalReason.homeGone,
    message: `host ${home.host} has ended and its journal with it: ask the service whether the request ran`
  })
}

function answerUnreachable (home: HomeReference): Answer {
  return buildRefusal({
    outcome: Outcome.unknown,
    reason: RefusalReason.homeUnreachable,
    message: `host ${home.host} can't be asked now: send the request again, unchanged`,
    retryAfterMs: 1_000
  })
}
