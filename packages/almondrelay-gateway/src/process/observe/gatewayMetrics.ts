import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { ShareMetrics } from './shareMetrics.js'

/** Histogram buckets in seconds: from the answer of a warm target nearby to the longest timeout of a route. */
const LATENCY_BUCKETS = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3]

/** Histogram buckets in seconds for the delay with which the host does its own work; from 0.15 s on, requests are shed. */
const DELAY_BUCKETS = [0.01, 0.05, 0.15, 0.5, 1.5]

/** Histogram buckets in seconds for the age of targets' statements, which say little after the coherence time of 0.6 s. */
const STATEMENT_AGE_BUCKETS = [0.1, 0.2, 0.4, 0.6, 1, 2]

/** Maximum number of organisations with their own label value, first come, first served: each adds a time series per outcome and host. */
const MAX_ORGANISATION_LABELS = 200
/** Label value under which all further organisations are counted together. */
const OTHER_ORGANISATIONS = 'others'
/** Maximum number of targets with a label value of their own among those with stray answers. */
const MAX_STRAY_TARGET_LABELS = 100
/** Label value under which all further targets are counted together. */
const OTHER_TARGETS = 'others'

/** Metrics of one host, rendered in the Prometheus text format. */
export class GatewayMetrics {
  private readonly registry = new Registry()
  private readonly answers = new Counter({ name: 'almondrelay_answers_total', help: 'Answers to callers', labelNames: ['service', 'outcome'], registers: [this.registry] })
  private readonly latency = new Histogram({ name: 'almondrelay_answer_seconds', help: 'Time from a request to its answer', labelNames: ['service'], buckets: LATENCY_BUCKETS, registers: [this.registry] })
  private readonly readFailures = new Counter({ name: 'almondrelay_unreadable_requests_total', help: 'Requests on connections of callers that could not be read', labelNames: ['failure'], registers: [this.registry] })
  private readonly closedClients = new Counter({ name: 'almondrelay_closed_clients_total', help: 'Connections of clients that exceeded a limit of their port, by port and limit', labelNames: ['port', 'reason'], registers: [this.registry] })
  private readonly organisations = new Counter({ name: 'almondrelay_organisation_answers_total', help: 'Answers to the callers of each organisation', labelNames: ['organisation', 'outcome'], registers: [this.registry] })
  private readonly labelledOrganisations = new Set<string>()
  private readonly connections = new Counter({ name: 'almondrelay_target_connections_total', help: 'Connections opened to targets, by cause', labelNames: ['region', 'cause'], registers: [this.registry] })
  private readonly unsoundAnswers = new Counter({ name: 'almondrelay_target_unsound_answers_total', help: 'Answers of targets that are not sound, or that there is no room for', labelNames: ['reason'], registers: [this.registry] })
  private readonly strayAnswers = new Counter({ name: 'almondrelay_target_stray_answers_total', help: 'Answers of targets that are not known to be the awaited ones', labelNames: ['target', 'handling'], registers: [this.registry] })
  private readonly labelledStrayTargets = new Set<string>()
  private readonly connectFailures = new Counter({ name: 'almondrelay_target_connect_failures_total', help: 'Connections to targets that could not be had', labelNames: ['region', 'reason'], registers: [this.registry] })
  private readonly quarantine = new Counter({ name: 'almondrelay_quarantine_events_total', help: 'Requests quarantined, tried and released', labelNames: ['event'], registers: [this.registry] })
  private readonly requestLimits = new Counter({ name: 'almondrelay_target_request_limits_total', help: 'Changes of the request limits that targets state, and stated limits that can not be read', labelNames: ['change'], registers: [this.registry] })
  private readonly targetAnnouncements = new Counter({ name: 'almondrelay_target_announcements_total', help: 'Departures that targets announced and pauses that they asked for', labelNames: ['kind'], registers: [this.registry] })
  private readonly statementAge = new Histogram({ name: 'almondrelay_target_statement_age_seconds', help: 'Age of the statements of speed by which targets were chosen', buckets: STATEMENT_AGE_BUCKETS, registers: [this.registry] })
  private readonly statementChoices = new Counter({ name: 'almondrelay_target_statement_choices_total', help: 'One in eight choices while targets state their speeds, by whether statements changed it', labelNames: ['result'], registers: [this.registry] })
  private readonly copies = new Counter({ name: 'almondrelay_copies_total', help: 'Copies of requests for second targets: sent, answered first, answered too late to be used, withheld by reason', labelNames: ['event'], registers: [this.registry] })
  private readonly platformCalls = new Counter({ name: 'almondrelay_platform_calls_total', help: 'Calls to the platform', labelNames: ['call', 'outcome'], registers: [this.registry] })
  private readonly platformBytes = new Counter({ name: 'almondrelay_platform_answer_bytes_total', help: 'Bytes of the bodies of answers of the platform; those of failed calls were of no use', labelNames: ['call', 'outcome'], registers: [this.registry] })
  private readonly storeReturns = new Counter({ name: 'almondrelay_store_returns_total', help: 'Returns of the store from a copy that lacks acknowledged changes', registers: [this.registry] })
  private readonly storeEra = new Gauge({ name: 'almondrelay_store_era', help: 'Era that the last answer of the store stated', registers: [this.registry] })
  private readonly relays = new Counter({ name: 'almondrelay_relayed_changes_total', help: 'Groups of changes of the store that watchers relayed to this host', labelNames: ['result'], registers: [this.registry] })
  private readonly lostLinks = new Gauge({ name: 'almondrelay_lost_links', help: 'Targets, and availability zones with all their targets, that this host does not reach although other hosts do', labelNames: ['scope'], registers: [this.registry] })
  private readonly indirectAttempts = new Counter({ name: 'almondrelay_indirect_attempts_total', help: 'Attempts sent to targets by way of another host, and those carried for other hosts', labelNames: ['role', 'result'], registers: [this.registry] })
  private readonly indirectBytes = new Counter({ name: 'almondrelay_indirect_bytes_total', help: 'Bytes of such attempts between the two hosts, in messages of this host', labelNames: ['role', 'distance'], registers: [this.registry] })
  private readonly workDelay = new Histogram({ name: 'almondrelay_work_delay_seconds', help: 'Lateness of a timer of this host', buckets: DELAY_BUCKETS, registers: [this.registry] })
  private readonly heldBytes = new Gauge({ name: 'almondrelay_held_answer_bytes', help: 'Bytes of answers that are being received, or wait for their callers', registers: [this.registry] })
  private readonly bodyBytes = new Gauge({ name: 'almondrelay_held_body_bytes', help: 'Bytes of bodies of requests that have not been answered', registers: [this.registry] })
  private readonly unanswered = new Gauge({ name: 'almondrelay_unanswered_requests', help: 'Requests of callers that were read and whose answers have not been sent in full', registers: [this.registry] })
  private readonly running = new Gauge({ name: 'almondrelay_attempts_at_targets', help: 'Attempts of this host that targets have not answered', registers: [this.registry] })
  private readonly reportedVersion = new Gauge({ name: 'almondrelay_configuration_reported_version', help: 'Newest version of the configuration that another host has reported', registers: [this.registry] })
  private readonly version = new Gauge({ name: 'almondrelay_configuration_version', help: 'Version of the configuration in force', registers: [this.registry] })

  observeAnswer (service: string, outcome: string, durationMs: number): void {
    this.answers.inc({ service, outcome })
    this.latency.observe({ service }, durationMs / 1_000)
  }

  /** @param outcome kind of the final answer, or the reason of a refusal that came before a target was chosen */
  countOrganisation (organisation: string, outcome: string): void {
    if (this.labelledOrganisations.size < MAX_ORGANISATION_LABELS) this.labelledOrganisations.add(organisation)
    this.organisations.inc({ organisation: this.labelledOrganisations.has(organisation) ? organisation : OTHER_ORGANISATIONS, outcome })
  }

  /** Sets what is in progress at this host. */
  setInProgress ({ heldBytes, bodyBytes, unanswered, running }: { heldBytes: number, bodyBytes: number, unanswered: number, running: number }): void {
    this.heldBytes.set(heldBytes)
    this.bodyBytes.set(bodyBytes)
    this.unanswered.set(unanswered)
    this.running.set(running)
  }

  /** @param failure a `ReadFailure` */
  countReadFailure (failure: string): void {
    this.readFailures.inc({ failure })
  }

  /**
   * @param port a `PortName`
   * @param reason a `ClientCloseReason`
   */
  countClosedClient (port: string, reason: string): void {
    this.closedClients.inc({ port, reason })
  }

  /** Adds the metrics of fair shares, which exist only where they are held. */
  createShareMetrics (): ShareMetrics {
    return new ShareMetrics(this.registry)
  }

  observeDelay (delayMs: number): void {
    this.workDelay.observe(delayMs / 1_000)
  }

  /** @param cause an `OpenCause` */
  countConnection (region: string, cause: string): void {
    this.connections.inc({ region, cause })
  }

  countConnectFailure (region: string, reason: string): void {
    this.connectFailures.inc({ region, reason })
  }

  /** @param reason an `UnsoundReason` */
  countUnsoundAnswer (reason: string): void {
    this.unsoundAnswers.inc({ reason })
  }

  /** @param handling a `StrayAnswerHandling` */
  countStrayAnswer (target: string, handling: string): void {
    if (this.labelledStrayTargets.size < MAX_STRAY_TARGET_LABELS) this.labelledStrayTargets.add(target)
    this.strayAnswers.inc({ target: this.labelledStrayTargets.has(target) ? target : OTHER_TARGETS, handling })
  }

  countQuarantineEvent (event: string): void {
    this.quarantine.inc({ event })
  }

  countRequestLimitChange (change: string): void {
    this.requestLimits.inc({ change })
  }

  countTargetAnnouncement (kind: string): void {
    this.targetAnnouncements.inc({ kind })
  }

  observeStatementAge (ageMs: number): void {
    this.statementAge.observe(ageMs / 1_000)
  }

  /** @param result `changed` if another target would have been chosen without statements, else `same` */
  countStatementChoice (result: 'changed' | 'same'): void {
    this.statementChoices.inc({ result })
  }

  /** @param event `sent`, `won` or `wasted`, or the reason why a copy was withheld */
  countCopy (event: string): void {
    this.copies.inc({ event })
  }

  /** @param bytes bytes of the answer's body that arrived */
  countPlatformCall (call: string, outcome: string, bytes: number): void {
    this.platformCalls.inc({ call, outcome })
    this.platformBytes.inc({ call, outcome }, bytes)
  }

  setStoreEra (era: number): void {
    this.storeEra.set(era)
  }

  countStoreReturn (): void {
    this.storeReturns.inc()
  }

  countRelayedChanges (result: string): void {
    this.relays.inc({ result })
  }

  setLostLinks (targets: number, availabilityZones: number): void {
    this.lostLinks.set({ scope: 'target' }, targets)
    this.lostLinks.set({ scope: 'availability_zone' }, availabilityZones)
  }

  /** @param role `sent` for attempts of this host, `carried` for those of other hosts */
  countIndirectAttempt (role: 'sent' | 'carried', result: string): void {
    this.indirectAttempts.inc({ role, result })
  }

  /** @param distance `zone`, `region` or `regions`: whether the other host is in the same availability zone, the same region or another one */
  countIndirectBytes (role: 'sent' | 'carried', distance: string, bytes: number): void {
    this.indirectBytes.inc({ role, distance }, bytes)
  }

  setReportedVersion (version: number): void {
    this.reportedVersion.set(version)
  }

  setVersion (version: number): void {
    this.version.set(version)
  }

  render (): Promise<string> {
    return this.registry.metrics()
  }
}
