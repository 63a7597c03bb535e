import type { IncomingMessage } from 'node:http'
import { RefusalReason } from 'almondrelay'
import type { CallerAnswer } from '../../connection/callerAnswer.js'
import type { CallerCodec } from '../../connection/callerCodec.js'
import type { CallerHead } from '../../connection/callerHead.js'
import type { MessageMemory } from '../../connection/messageMemory.js'
import { computeAllowanceRetryAfter } from '../../request/computeAllowanceRetryAfter.js'
import type { HostLoad } from '../../request/hostLoad.js'
import type { Organisation } from '../../version/organisation.js'
import type { Route } from '../../version/route.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { AccountRecorder } from '../observe/accountRecorder.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'
import type { ShareRefusal } from '../shares/shareRefusal.js'
import type { EarlyRefusal } from './earlyRefusal.js'

/** Retry-After, in milliseconds, while this host has no configuration yet. */
const UNCONFIGURED_RETRY_AFTER_MS = 500
/** Mean Retry-After, in milliseconds, while pending answers fill the memory of this host. */
const MEMORY_FULL_RETRY_AFTER_MS = 1_000
/** Mean Retry-After, in milliseconds, of a host with a stale configuration: a new connection can reach a host that is up to date. */
const STALE_RETRY_AFTER_MS = 200
/** Mean Retry-After, in milliseconds, if only a new configuration can make the request succeed. */
const NO_COMMON_REGION_RETRY_AFTER_MS = 2_000
/** Mean Retry-After, in milliseconds, of a host that is being stopped. */
const STOPPING_RETRY_AFTER_MS = 100
/** Status of the answer where no route matches. */
const NO_ROUTE_STATUS = 404
/** Status of the answer to a caller without an organisation's key. */
const UNIDENTIFIED_STATUS = 401

interface RefuserParts {
  callerCodec: CallerCodec
  fleet: FleetState
  load: HostLoad
  memory: MessageMemory
  log: EventLog
  account: AccountRecorder
  metrics: GatewayMetrics
  /** Milliseconds within which a configuration must be in force. */
  staleAfterMs: number
  getNow: () => number
  random: () => number
}

/** Answers and logs requests that are refused before a target is chosen. */
export class RequestRefuser {
  constructor (private readonly parts: RefuserParts) {}

  /** @param id undefined if the caller sent none */
  reject (message: IncomingMessage, id: string | undefined, status: number, reason: string): CallerAnswer {
    const { log, metrics, fleet, callerCodec, getNow } = this.parts
    log.record('request rejected', { id, hostName: message.headers.host, url: message.url, status, reason, version: fleet.configuration?.version, reportedVersion: fleet.reportedVersion, storeAgeMs: Math.round(fleet.computeAge(getNow())) })
    metrics.observeAnswer('none', String(status), 0)
    return callerCodec.encodeRejection(status, reason, id)
  }

  /**
   * Answers a request for which the configuration of this host has no route. Callers do not retry after 404, which is therefore given only
   * if the configuration is up to date: a host that is behind refuses a route that the next host serves.
   */
  refuseUnknownRoute (message: IncomingMessage, head: CallerHead): CallerAnswer {
    const { fleet, staleAfterMs, callerCodec, metrics, log, getNow } = this.parts
    if (!fleet.isPossiblyOutdated(getNow(), staleAfterMs)) return this.reject(message, head.id, NO_ROUTE_STATUS, 'no route')
    const answer = { kind: 'refused' as const, retryAfterMs: this.addJitter(STALE_RETRY_AFTER_MS), cause: RefusalReason.notReady, reason: 'this host doesn\'t know the newest configuration, and the one that it knows has no such route' }
    metrics.observeAnswer('none', answer.cause, 0)
    log.record('request refused', { id: head.id, hostName: message.headers.host, url: message.url, version: fleet.configuration?.version, reportedVersion: fleet.reportedVersion, storeAgeMs: Math.round(fleet.computeAge(getNow())), ...answer })
    return callerCodec.encodeAnswer(answer, head.id)
  }

  /**
   * Answers a request whose key this host does not know. The key is rejected with 401 only if the configuration of this host is
   * up to date. A host that is cut off from the store may lack the key of a new customer that the next host serves, and callers
   * do not retry after 401.
   */
  refuseUnknownKey (message: IncomingMessage, head: CallerHead, route: Route): CallerAnswer {
    const { fleet, staleAfterMs, getNow } = this.parts
    if (!fleet.isPossiblyOutdated(getNow(), staleAfterMs)) return this.reject(message, head.id, UNIDENTIFIED_STATUS, 'no key of an organisation')
    return this.refuse(head, route, { retryAfterMs: this.addJitter(STALE_RETRY_AFTER_MS), cause: RefusalReason.notReady, reason: 'this host doesn\'t know the newest configuration, and the key isn\'t in the one that it knows' })
  }

  refuseNoCommonRegion (head: CallerHead, route: Route, organisation: string | undefined): CallerAnswer {
    return this.refuse(head, route, { retryAfterMs: this.addJitter(NO_COMMON_REGION_RETRY_AFTER_MS), cause: RefusalReason.noCommonRegion, reason: 'no region is allowed both to the route and to the organisation', organisation })
  }

  refuseOverAllowance (head: CallerHead, route: Route, { name, ratePerSecond }: Organisation, allowedPart: number): CallerAnswer {
    const retryAfterMs = computeAllowanceRetryAfter(allowedPart, this.parts.random())
    return this.refuse(head, route, { retryAfterMs, cause: RefusalReason.overAllowance, reason: `the organisation has had its allowance of ${ratePerSecond} requests a second`, organisation: name, allowedPart })
  }

  refuseOverShare (head: CallerHead, route: Route, organisation: string | undefined, service: string, { shareMs, askedMs, ...refusal }: ShareRefusal): CallerAnswer {
    const [share, asked] = [shareMs, askedMs].map((ms) => ms === undefined ? undefined : Math.round(ms))
    const reason = asked === undefined
      ? `${service} is overloaded, and requests of a higher rank need its capacity`
      : `${service} is overloaded, and the organisation asks for ${asked} ms of work a second; its share is ${share ?? 0}`
    return this.refuse(head, route, { ...refusal, shareMs: share, askedMs: asked, cause: RefusalReason.overShare, reason, organisation, service })
  }

  /** @param retryAfterMs milliseconds after which the caller may come back with a new deadline */
  refuseUnreachableDeadline (head: CallerHead, route: Route, organisation: string | undefined, service: string, retryAfterMs: number): CallerAnswer {
    return this.refuse(head, route, { retryAfterMs, cause: RefusalReason.deadlineUnreachable, reason: `${service} is overloaded, and less time is left than the work takes`, organisation, service })
  }

  refuseOverloaded (head: CallerHead, route: Route, organisation: string | undefined): CallerAnswer {
    const { load, random } = this.parts
    return this.refuse(head, route, { retryAfterMs: load.computeRetryAfter(random()), cause: RefusalReason.hostOverloaded, reason: 'this host has no processor time left', organisation })
  }

  /** @param what what fills the memory, in words */
  refuseMemoryFull (head: CallerHead, route: Route, organisation: string | undefined, what: string): CallerAnswer {
    return this.refuse(head, route, { retryAfterMs: this.addJitter(MEMORY_FULL_RETRY_AFTER_MS), cause: RefusalReason.hostOverloaded, reason: `${what} fill the memory of this host`, organisation })
  }

  /** The caller's next connection reaches another host, so it may come back soon. */
  refuseStopping (head: CallerHead, route: Route, organisation: string | undefined): CallerAnswer {
    return this.refuse(head, route, { retryAfterMs: this.addJitter(STOPPING_RETRY_AFTER_MS), cause: RefusalReason.leaving, reason: 'this host is being stopped, and the request may take longer than the time that is left', organisation })
  }

  refuseUnconfigured (head: CallerHead): CallerAnswer {
    const answer = { kind: 'refused' as const, retryAfterMs: UNCONFIGURED_RETRY_AFTER_MS, reason: 'no configuration yet', cause: RefusalReason.notReady }
    this.parts.log.record('request refused', { id: head.id, ...answer })
    return this.parts.callerCodec.encodeAnswer(answer, head.id)
  }

  private refuse (head: CallerHead, route: Route, refusal: EarlyRefusal): CallerAnswer {
    const { load, memory, fleet, account, callerCodec, metrics, log } = this.parts
    const { organisation, cause } = refusal
    account.recordRefusal(organisation ?? route.hostName, cause)
    metrics.observeAnswer('none', cause, load.delay)
    if (organisation !== undefined) metrics.countOrganisation(organisation, cause)
    log.record('request refused', { id: head.id, route: route.name, version: fleet.configuration?.version, delayMs: Math.round(load.delay), heldBytes: memory.heldBytes, kind: 'refused', ...refusal })
    return callerCodec.encodeAnswer({ kind: 'refused', ...refusal }, head.id)
  }

  /** Returns the mean, in milliseconds, with jitter, so that refused callers do not all retry at the same time. */
  private addJitter (meanMs: number): number {
    return meanMs * (0.5 + this.parts.random())
  }
}
