import { computeHash } from '../../version/computeHash.js'
import { StatementPool } from '../../request/statementPool.js'
import type { TargetStatement } from '../../request/targetStatement.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import type { PeerView } from '../peers/peerView.js'
import { sendToHosts } from '../peers/sendToHosts.js'
import { encodeTargetLoads } from './encodeTargetLoads.js'
import { MAX_STATEMENTS } from './maxStatements.js'
import type { TargetLoadReport } from './targetLoadReport.js'
import type { TargetLoads } from './targetLoads.js'

/** Milliseconds between two sends of a host's new statements, and between two of an aggregator's. */
const COLLECT_INTERVAL_MS = 100
const SPREAD_INTERVAL_MS = 200
/** Milliseconds without a datagram of the first aggregator after which the second one takes its place. */
const AGGREGATOR_SILENCE_MS = 500
/**
 * Mean bytes per second that a host sends in these reports at most. With one more round in a period of a few seconds they stay below the
 * 4 KB per second that are allowed, out of 12 for all control traffic of a host.
 */
const MAX_BYTES_PER_SECOND = 3_500
/**
 * Maximum statements that an aggregator tells at once, the newest first. In zones of 60 hosts the bytes don't suffice for all that
 * change; with 64 at once, the rounds would be 2.4 s apart and each statement outdated when it arrives.
 */
const MAX_SPREAD_STATEMENTS = 24
/** Maximum hosts in a group. An aggregator sends to one host of each group, as its bytes would not suffice for all hosts of a zone. */
const MAX_GROUP_SIZE = 8

interface ExchangeParts {
  own: HostEntry
  fleet: Pick<FleetState, 'findIncarnation'>
  view: Pick<PeerView, 'listAggregators' | 'listRemoteAggregators' | 'listZonePeers' | 'findSender' | 'findLastReport'>
  loads: TargetLoads
  socket: Pick<PeerSocket, 'send'>
  getNow: () => number
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
  logError: (error: Error) => void
}

/**
 * Passes on what targets state about their load: from each host to an aggregator of its zone, and from there to the zone's hosts and to
 * the aggregators of the region's other zones. Runs only while targets state their speeds.
 */
export class TargetLoadExchange {
  private readonly pool = new StatementPool()
  private readonly ownHash: number
  private isRunning = false
  private spreadAt = -Infinity
  /** Counts the spreads, so that each one goes to other hosts of the groups: the hosts behind one that has exited miss one of several. */
  private rounds = 0
  private forwardedBytes = 0
  private firstAggregator: { name: string, heardAt: number } | undefined

  constructor (private readonly parts: ExchangeParts, private readonly signal: AbortSignal) {
    this.ownHash = computeHash(parts.own.name)
    parts.loads.handleStatement = () => { this.start() }
  }

  /** Handles a report. It counts only from the sender's current incarnation and address, and from hosts in the place that it requires. */
  handleReport (report: TargetLoadReport, ip: string): void {
    const { own, view, getNow } = this.parts
    const sender = view.findSender(report, ip)
    if (sender?.region !== own.region) return
    const now = getNow()
    const statements = report.statements.map(({ ageMs, ...statement }) => ({ ...statement, statedAt: now - ageMs }))
    if (sender.availabilityZone !== own.availabilityZone) this.receiveRemote(report, statements, now)
    else if (report.origin === 0) this.receiveCollected(statements, now)
    else this.receiveSpread(report, statements, now)
  }

  private receiveRemote ({ host, passesOn }: TargetLoadReport, statements: readonly TargetStatement[], now: number): void {
    const { own, view } = this.parts
    const sender = view.listRemoteAggregators(now).find(({ name }) => name === host)
    if (!passesOn || sender?.region !== own.region || !this.isAggregator(now)) return
    for (const statement of statements) this.receive(statement, (known) => { this.pool.put(known, false) }, now)
  }

  private receiveCollected (statements: readonly TargetStatement[], now: number): void {
    if (!this.isAggregator(now)) return
    // A host that doesn't hear the first aggregator sends to the second one, which may well hear it.
    const isSpreader = this.isSpreader(now)
    for (const statement of statements) {
      this.receive(statement, (known) => {
        this.pool.put(known, true)
        if (!isSpreader) this.parts.loads.addUnsent(known)
      }, now)
    }
  }

  private receiveSpread ({ host, origin, forwardTo, statements: sent }: TargetLoadReport, statements: readonly TargetStatement[], now: number): void {
    const first = this.findFirstAggregator(now)
    if (first?.name === host) first.heardAt = now
    for (const statement of statements) this.receive(statement, (known) => { this.pool.observeSent(known) }, now)
    if (forwardTo.length === 0) return
    const receivers = this.parts.view.listZonePeers(now).filter(({ name }) => forwardTo.includes(computeHash(name)))
    this.forwardedBytes += this.send(receivers.slice(0, MAX_GROUP_SIZE), { origin, statements: sent })
  }

  /** Takes over a statement if its target is known here; others would fill the pool. */
  private receive (statement: TargetStatement, handle: (statement: TargetStatement) => void, now: number): void {
    const { fleet, loads } = this.parts
    if (fleet.findIncarnation(statement.incarnationHash) === undefined) return
    loads.receive(statement, now)
    handle(statement)
  }

  private start (): void {
    if (this.isRunning || this.signal.aborted) return
    this.isRunning = true
    this.run().catch((error: Error) => {
      this.isRunning = false
      this.parts.logError(error)
    })
  }

  private async run (): Promise<void> {
    const { loads, getNow, sleep } = this.parts
    // Statements within the first interval go out together.
    await sleep(COLLECT_INTERVAL_MS, this.signal)
    while (!this.signal.aborted && loads.isActive(getNow())) {
      const bytes = this.sendRound(getNow()) + this.forwardedBytes
      this.forwardedBytes = 0
      await sleep(Math.max(COLLECT_INTERVAL_MS, bytes / MAX_BYTES_PER_SECOND * 1_000), this.signal)
    }
    this.isRunning = false
  }

  private sendRound (now: number): number {
    const unsent = this.parts.loads.takeUnsent()
    const first = this.findFirstAggregator(now)
    if (this.isSpreader(now)) {
      for (const statement of unsent) this.pool.put(statement, true)
      return now - this.spreadAt < SPREAD_INTERVAL_MS ? 0 : this.spread(now)
    }
    this.pool.expire(now)
    const statements = unsent.sort((one, other) => other.statedAt - one.statedAt).slice(0, MAX_STATEMENTS)
    const aggregators = this.parts.view.listAggregators(this.parts.own.availabilityZone, now)
    const receiver = first === undefined || this.isSilent(first, now) ? aggregators[1] : aggregators[0]
    return receiver === undefined || statements.length === 0 ? 0 : this.send([receiver], { statements: describeAges(statements, now) })
  }

  /** Tells the zone's hosts and the other zones' aggregators what changed, and returns the bytes sent. */
  private spread (now: number): number {
    const { own, view } = this.parts
    const due = this.pool.takeDue(MAX_SPREAD_STATEMENTS, now)
    if (due.length === 0) return 0
    this.spreadAt = now
    this.rounds += 1
    const ownZone = due.filter(({ isOwnZone }) => isOwnZone).map(({ statement }) => statement)
    const remote = view.listRemoteAggregators(now).filter(({ region }) => region === own.region)
    let bytes = ownZone.length === 0 ? 0 : this.send(remote, { passesOn: true, statements: describeAges(ownZone, now) })
    const statements = describeAges(due.map(({ statement }) => statement), now)
    for (const [first, ...others] of splitGroups(view.listZonePeers(now), this.rounds)) {
      if (first !== undefined) bytes += this.send([first], { origin: this.ownHash, forwardTo: others.map(({ name }) => computeHash(name)), statements })
    }
    return bytes
  }

  private isAggregator (now: number): boolean {
    const { own, view } = this.parts
    return view.listAggregators(own.availabilityZone, now).some(({ name }) => name === own.name)
  }

  /** Whether this host tells its zone's hosts: as the first aggregator, or as the second while the first is silent. */
  private isSpreader (now: number): boolean {
    const first = this.findFirstAggregator(now)
    if (first === undefined || first.name === this.parts.own.name) return true
    return this.isAggregator(now) && this.isSilent(first, now)
  }

  private isSilent ({ name, heardAt }: { name: string, heardAt: number }, now: number): boolean {
    const { own, view } = this.parts
    const entry = view.listAggregators(own.availabilityZone, now).find((each) => each.name === name)
    const reportedAt = entry === undefined ? undefined : view.findLastReport(entry)?.receivedAt
    return name !== own.name && now - Math.max(heardAt, reportedAt ?? -Infinity) > AGGREGATOR_SILENCE_MS
  }

  /** Returns the zone's first aggregator, and when it was last heard in this exchange. */
  private findFirstAggregator (now: number): { name: string, heardAt: number } | undefined {
    const { own, view } = this.parts
    const [first] = view.listAggregators(own.availabilityZone, now)
    if (first === undefined) return undefined
    if (this.firstAggregator?.name !== first.name) this.firstAggregator = { name: first.name, heardAt: -Infinity }
    return this.firstAggregator
  }

  /** Sends one report to all given hosts but this one, and returns the bytes sent, headers included. */
  private send (entries: readonly HostEntry[], content: Pick<TargetLoadReport, 'statements'> & Partial<TargetLoadReport>): number {
    const { own, socket } = this.parts
    const receivers = entries.filter(({ name }) => name !== own.name)
    if (receivers.length === 0) return 0
    const bytes = encodeTargetLoads({ host: own.name, incarnation: own.incarnation, origin: 0, passesOn: false, forwardTo: [], ...content })
    return sendToHosts(socket, receivers, bytes)
  }
}

const describeAges = (statements: readonly TargetStatement[], now: number): TargetLoadReport['statements'] =>
  statements.map(({ statedAt, ...statement }) => ({ ...statement, ageMs: now - statedAt }))

/** Splits hosts into groups of about as many hosts as there are groups, rotated by the round. */
const splitGroups = (entries: readonly HostEntry[], round: number): HostEntry[][] => {
  const size = Math.min(MAX_GROUP_SIZE, Math.max(1, Math.ceil(Math.sqrt(entries.length))))
  const shift = entries.length === 0 ? 0 : round % entries.length
  const rotated = [...entries.slice(shift), ...entries.slice(0, shift)]
  return Array.from({ length: Math.ceil(rotated.length / size) }, (_, index) => rotated.slice(index * size, (index + 1) * size))
}
