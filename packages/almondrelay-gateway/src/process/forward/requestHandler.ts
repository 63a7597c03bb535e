import type { IncomingMessage } from 'node:http'
import { RefusalReason } from 'almondrelay'
import type { CallerAnswer } from '../../connection/callerAnswer.js'
import type { CallerCodec } from '../../connection/callerCodec.js'
import type { CallerHead } from '../../connection/callerHead.js'
import { hasBody } from '../../connection/hasBody.js'
import type { HeldBytes } from '../../connection/heldBytes.js'
import type { MessageMemory } from '../../connection/messageMemory.js'
import { readBody } from '../../connection/readBody.js'
import type { TargetCodec } from '../../connection/targetCodec.js'
import { allowBeforeStop } from '../../request/allowBeforeStop.js'
import type { CallerRequest } from '../../request/callerRequest.js'
import type { FinalAnswer } from '../../request/finalAnswer.js'
import { MAX_RETRY_AFTER_SHARE } from '../../request/maxRetryAfterShare.js'
import type { HostLoad } from '../../request/hostLoad.js'
import { computeHash } from '../../version/computeHash.js'
import { findCommonRegions } from '../../version/findCommonRegions.js'
import { findOrganisation } from '../../version/findOrganisation.js'
import { identifyCaller } from '../../version/identifyCaller.js'
import type { CallerIdentity } from '../../version/callerIdentity.js'
import type { Organisation } from '../../version/organisation.js'
import type { Route } from '../../version/route.js'
import type { SteeringConfiguration } from '../../version/steeringConfiguration.js'
import { pickDestination } from '../../version/pickDestination.js'
import type { Allowances } from '../organisations/allowances.js'
import type { AccountRecorder } from '../observe/accountRecorder.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'
import type { Quarantine } from '../quarantine/quarantine.js'
import { RequestGate } from '../quarantine/requestGate.js'
import type { ShareMetrics } from '../observe/shareMetrics.js'
import type { WorkShares } from '../shares/workShares.js'
import type { PlannedStop } from '../stop/plannedStop.js'
import type { ForwardState } from './forwardState.js'
import { RequestRefuser } from './requestRefuser.js'
import { RequestPlacement } from './requestPlacement.js'
import type { RequestRecord } from './requestRecord.js'
import { RequestRunner } from './requestRunner.js'

/**
 * Milliseconds after the host's start for which requests wait for its first configuration. After that the store is considered
 * unavailable, and requests are refused.
 */
const FIRST_CONFIGURATION_TIMEOUT_MS = 600
/** What fills the memory, in refusals. */
const BODIES = 'bodies of requests that are running'
const HASH_RANGE = 2 ** 32
/** Share of a key's requests that goes to its preferred target while that target is warming up. */
const WARM_UP_SHARE = 0.25

interface HandlerParts {
  callerCodec: CallerCodec
  targetCodec: TargetCodec
  forward: ForwardState
  load: HostLoad
  /** Memory for answers. */
  memory: MessageMemory
  /** Memory for bodies of requests. */
  bodies: MessageMemory
  allowances: Allowances
  quarantine: Quarantine
  /** Undefined where fair shares aren't held. */
  shares: WorkShares | undefined
  shareMetrics: ShareMetrics | undefined
  log: EventLog
  account: AccountRecorder
  metrics: GatewayMetrics
  plannedStop: Pick<PlannedStop, 'endsAt' | 'isFinishing'>
  /** Age of this host's state, in milliseconds, above which a newer configuration may already be binding. */
  staleAfterMs: number
  /** Monotonic milliseconds at which the host started. */
  startedAt: number
  getNow: () => number
  random: () => number
}

interface IdentifiedRequest {
  message: IncomingMessage
  id: string
  head: CallerHead
  route: Route
  identity: CallerIdentity
  arrivedAt: number
  /** Aborts when the caller disconnects. */
  callerLeft: AbortSignal
}

/** Service of a request, picked before its body is read where fair shares are held, and the expected work. */
interface MeteredService {
  name: string
  workMs: number
}

interface ServedRequest {
  answer: CallerAnswer | undefined
  mayHaveRun: boolean
}

/** Handles callers' requests from the head to the answer. */
export class RequestHandler {
  private readonly runners = new Set<RequestRunner>()
  private readonly refuser: RequestRefuser

  constructor (private readonly parts: HandlerParts) {
    this.refuser = new RequestRefuser({ ...parts, fleet: parts.forward.fleet })
  }

  /** Ends the requests whose deadline passed while timers were stopped. */
  expireRequests (): void {
    const now = this.parts.getNow()
    for (const runner of this.runners) runner.expire(now)
  }

  /** Sends again the requests that wait for answers over links that count as lost, or by way of hosts that have become silent. */
  handleLinkLoss (): void {
    for (const runner of this.runners) runner.handleLinkLoss()
  }

  /** @param readAt monotonic milliseconds at which the request's head was read */
  async handle (message: IncomingMessage, callerLeft: AbortSignal, readAt: number): Promise<CallerAnswer | undefined> {
    const { load, getNow } = this.parts
    // The caller's time limit began when its request arrived, which was before this host read it.
    const arrivedAt = Math.min(readAt, getNow() - load.readDelay)
    const head = this.parts.callerCodec.decodeHead(message)
    const { fleet } = this.parts.forward
    if (fleet.configuration === undefined) await fleet.waitForConfiguration(this.parts.startedAt + FIRST_CONFIGURATION_TIMEOUT_MS - getNow())
    if (callerLeft.aborted) return undefined
    const { configuration, routes, organisations } = fleet
    if (configuration === undefined) return this.refuser.refuseUnconfigured(head)
    if (message.headers.host === undefined) return this.refuser.reject(message, head.id, 400, 'no Host header')
    const route = routes.findRoute(getHostName(message), getPath(message))
    if (route === undefined) return this.refuser.refuseUnknownRoute(message, head)
    const identity = identifyCaller(organisations, head.organisationKey, route)
    if (identity.kind === 'unknown') return this.refuser.refuseUnknownKey(message, head, route)
    if (head.id === undefined) return this.refuser.reject(message, undefined, 400, 'no request id')
    return this.handleIdentified({ message, id: head.id, head, route, identity, arrivedAt, callerLeft }, configuration)
  }

  private async handleIdentified ({ message, id, head, route, identity, arrivedAt, callerLeft }: IdentifiedRequest, configuration: SteeringConfiguration): Promise<CallerAnswer | undefined> {
    const { load, memory, bodies, forward, getNow, random } = this.parts
    const { routes, organisations } = forward.fleet
    const organisation = findOrganisation(identity)
    const allowedRegions = findCommonRegions(route.allowedRegions, organisation?.allowedRegions ?? [])
    if (allowedRegions === undefined) return this.refuser.refuseNoCommonRegion(head, route, organisation?.name)
    const deadline = arrivedAt + Math.min(route.timeoutMs, head.callerTimeoutMs ?? route.timeoutMs)
    const patience = organisations.computeRelativePriority(organisation, routes.computeRelativePriority(route))
    if (deadline <= getNow() || !load.allow(patience, random())) return this.refuser.refuseOverloaded(head, route, organisation?.name)
    if (!this.allowBeforeStop(route, deadline)) return this.refuser.refuseStopping(head, route, organisation?.name)
    if (memory.isFilling) return this.refuser.refuseMemoryFull(head, route, organisation?.name, 'answers that are on their way')
    if (bodies.isFilling && hasBody(message)) return this.refuser.refuseMemoryFull(head, route, organisation?.name, BODIES)
    const { method = 'GET', url = '/', rawHeaders } = message
    const { affinityKey, organisationKey } = head
    const draft = { id, method, url, rawHeaders, affinityKey, route, identity, organisationKey, allowedRegions, configurationVersion: configuration.version, arrivedAt, deadline }
    const metered = this.pickService(route)
    return this.serveWithinAllowance(organisation, head, route, async () => {
      const refusal = metered === undefined ? undefined : this.refuseOverShare(head, draft, organisation, metered)
      return refusal === undefined ? await this.serve(message, head, configuration.limits.maxBodyBytes, draft, callerLeft, metered) : { answer: refusal, mayHaveRun: false }
    })
  }

  private allowBeforeStop (route: Route, deadline: number): boolean {
    const { plannedStop: { endsAt, isFinishing }, forward, getNow } = this.parts
    if (isFinishing) return false
    if (endsAt === Infinity) return true
    const expectedMs = Math.max(...route.destinations.map(({ service }) => forward.getRuntime(service).findTimes(route.name).getMeanMs(route.targetLatencyMs)))
    return allowBeforeStop({ now: getNow(), deadline, expectedMs, endsAt })
  }

  /** Picks the service of a request; undefined where fair shares aren't held. */
  private pickService (route: Route): MeteredService | undefined {
    const { shares, forward, random } = this.parts
    if (shares === undefined) return undefined
    const name = pickDestination(route.destinations, random()) ?? ''
    return { name, workMs: forward.getRuntime(name).findTimes(route.name).getMeanMs(route.targetLatencyMs) }
  }

  /** Refuses a request beyond its share of an overloaded service, or that can't be served there in the time left; undefined if it is admitted. */
  private refuseOverShare (head: CallerHead, draft: Omit<CallerRequest, 'body'>, organisation: Organisation | undefined, { name, workMs }: MeteredService): CallerAnswer | undefined {
    const { shares, shareMetrics, forward, getNow, random } = this.parts
    const { route, method, url, affinityKey, arrivedAt, deadline } = draft
    const now = getNow()
    const remainingMs = deadline - now
    const neededMs = forward.getRuntime(name).findTimes(route.name).getWarmMs(route.targetLatencyMs)
    const refusal = shares?.decide({
      service: name,
      organisation: organisation === undefined ? 0 : forward.fleet.organisations.nameHashes.getHash(organisation.name),
      organisationPriority: organisation?.priority ?? 0,
      route: forward.fleet.routes.nameHashes.getHash(route.name),
      routePriority: route.priority,
      requestHash: computeHash(`${organisation?.name ?? ''} ${method} ${route.hostName} ${url} ${affinityKey ?? ''}`),
      arrivedAt,
      workMs,
      remainingMs,
      neededMs
    }, now, random())
    if (refusal !== undefined) {
      shareMetrics?.countRefusal(name, RefusalReason.overShare)
      return this.refuser.refuseOverShare(head, route, organisation?.name, name, refusal)
    }
    if (remainingMs >= neededMs || shares?.findSnapshot(name, now) === undefined) return undefined
    shareMetrics?.countRefusal(name, RefusalReason.deadlineUnreachable)
    return this.refuser.refuseUnreachableDeadline(head, route, organisation?.name, name, Math.max(1, remainingMs * MAX_RETRY_AFTER_SHARE))
  }

  /** Serves a request if its organisation's allowance admits it, and releases the allowance usage if the request was not run. */
  private async serveWithinAllowance (organisation: Organisation | undefined, head: CallerHead, route: Route, serve: () => Promise<ServedRequest>): Promise<CallerAnswer | undefined> {
    const { allowances, getNow, random } = this.parts
    if (organisation === undefined) return (await serve()).answer
    const admittedAt = getNow()
    const claim = allowances.claim(organisation.name, admittedAt)
    if (random() >= claim.allowedPart) return this.refuser.refuseOverAllowance(head, route, organisation, claim.allowedPart)
    allowances.observeAdmitted(claim, admittedAt)
    const { answer, mayHaveRun } = await serve()
    if (!mayHaveRun) allowances.releaseClaim(claim, admittedAt, getNow())
    return answer
  }

  private async serve (message: IncomingMessage, head: CallerHead, maxBodyBytes: number, draft: Omit<CallerRequest, 'body'>, callerLeft: AbortSignal, metered: MeteredService | undefined): Promise<ServedRequest> {
    const { route, identity } = draft
    const organisation = findOrganisation(identity)?.name
    const read = await readBody(message, maxBodyBytes, this.parts.bodies)
    if (read.kind === 'too-long') return { answer: this.refuser.reject(message, draft.id, 413, 'body too long'), mayHaveRun: false }
    if (read.kind === 'no-room') return { answer: this.refuser.refuseMemoryFull(head, route, organisation, BODIES), mayHaveRun: false }
    if (read.kind === 'cut-short') return { answer: undefined, mayHaveRun: false }
    let runner: RequestRunner | undefined
    try {
      if (callerLeft.aborted) return { answer: undefined, mayHaveRun: false }
      if (!this.allowBeforeStop(route, draft.deadline)) return { answer: this.refuser.refuseStopping(head, route, organisation), mayHaveRun: false }
      const request = { ...draft, body: read.body }
      runner = this.createRunner(request, metered?.name)
      return await this.forward(request, runner, callerLeft, metered)
    } finally {
      releaseAfterAttempts(read.held, runner)
    }
  }

  private async forward (request: CallerRequest, runner: RequestRunner, callerLeft: AbortSignal, metered: MeteredService | undefined): Promise<ServedRequest> {
    this.runners.add(runner)
    const answer = await runner.run(callerLeft).finally(() => { this.runners.delete(runner) })
    this.report(request, runner.record, answer)
    const mayHaveRun = answer.kind === 'abandoned' ? answer.wasSent : answer.kind === 'passed' || answer.kind === 'failed'
    if (metered !== undefined) this.observeOutcome(request, metered, runner, answer, mayHaveRun)
    return { answer: answer.kind === 'abandoned' ? undefined : this.parts.callerCodec.encodeAnswer(answer, request.id), mayHaveRun }
  }

  private observeOutcome ({ route }: CallerRequest, { name, workMs }: MeteredService, { expectedWaitMs }: RequestRunner, answer: FinalAnswer, wasSent: boolean): void {
    const wasTurnedAway = (answer.kind === 'refused' && answer.cause === RefusalReason.queueFull) || expectedWaitMs > route.targetLatencyMs
    this.parts.shares?.observeOutcome(name, workMs, wasSent, wasTurnedAway, this.parts.getNow())
  }

  /** @param meteredService service that was picked already; undefined where fair shares aren't held */
  private createRunner (request: CallerRequest, meteredService: string | undefined): RequestRunner {
    const { forward, targetCodec, quarantine, metrics, getNow, random } = this.parts
    const service = meteredService ?? pickDestination(request.route.destinations, random()) ?? ''
    const runtime = forward.getRuntime(service)
    runtime.observeRequest(request.route.targetLatencyMs, getNow())
    const keyHash = request.affinityKey === undefined ? Math.floor(random() * HASH_RANGE) : computeHash(`${request.route.name} ${request.affinityKey}`)
    const placement = new RequestPlacement(forward, runtime, keyHash, request.allowedRegions, random() < WARM_UP_SHARE)
    return new RequestRunner(request, placement, { codec: targetCodec, links: forward.links, carriers: forward.carriers, gate: new RequestGate(request, quarantine), metrics, getNow, random })
  }

  private report (request: CallerRequest, record: RequestRecord, answer: FinalAnswer): void {
    const { log, account, metrics, getNow } = this.parts
    const durationMs = getNow() - request.arrivedAt
    const organisation = findOrganisation(request.identity)?.name
    const outcome = answer.kind === 'passed' ? String(answer.head.status) : answer.kind
    metrics.observeAnswer(record.service, outcome, durationMs)
    account.record(request, record, answer, durationMs)
    if (organisation !== undefined) metrics.countOrganisation(organisation, answer.kind)
    log.record('request', {
      id: request.id,
      route: request.route.name,
      organisation,
      version: request.configurationVersion,
      key: request.affinityKey,
      ...record,
      outcome,
      reason: answer.kind === 'passed' ? undefined : answer.reason,
      ms: Math.round(durationMs)
    })
  }
}

/** Releases a request's body once no attempt holds it any more, which may be after its final answer. */
const releaseAfterAttempts = (held: HeldBytes, runner: RequestRunner | undefined): void => {
  if (held.count > 0) void (runner?.waitForAttempts() ?? Promise.resolve()).finally(() => { held.release() })
}

const getHostName = (message: IncomingMessage): string => {
  const host = message.headers.host ?? ''
  const colon = host.indexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}

const getPath = (message: IncomingMessage): string => {
  const url = message.url ?? '/'
  const query = url.indexOf('?')
  return query < 0 ? url : url.slice(0, query)
}
