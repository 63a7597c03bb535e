import bunyan from 'bunyan'
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:net'
import { makeTestGuard } from 'almondrelay/testing'
import { makeRequest } from '../../../connection/__fixtures__/makeRequest.js'
import { PlainTargetCodec } from '../../../connection/__fixtures__/plainTargetCodec.js'
import { MessageMemory } from '../../../connection/messageMemory.js'
import { HostLoad } from '../../../request/hostLoad.js'
import type { TargetState } from '../../../request/targetState.js'
import { TargetAnnouncements } from '../../announcements/targetAnnouncements.js'
import { FleetState } from '../../fleet/fleetState.js'
import type { HostEntry } from '../../fleet/hostEntry.js'
import { RoundTripTimes } from '../../forward/roundTripTimes.js'
import { TargetPools } from '../../forward/targetPools.js'
import type { TargetProber } from '../../forward/targetProber.js'
import type { LinkMonitor } from '../../links/linkMonitor.js'
import { EventLog } from '../../observe/eventLog.js'
import { GatewayMetrics } from '../../observe/gatewayMetrics.js'
import { PeerView } from '../../peers/peerView.js'
import type { Quarantine } from '../../quarantine/quarantine.js'
import type { SuspectId } from '../../quarantine/suspectId.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import { CarrierClient } from '../carrierClient.js'
import { CarrierServer } from '../carrierServer.js'
import type { CarryOutcome } from '../carryOutcome.js'

const ignoreChange = (): void => undefined
const FLEET_LISTENER = { targetAdded: ignoreChange, targetRemoved: ignoreChange, targetRestarted: ignoreChange, hostRemoved: ignoreChange }
const SUSPECT_ID: SuspectId = { fingerprint: '0123456789abcdef0123456789abcdef', organisation: '' }

/** A host that has lost its link to a target, and a host that carries attempts for it, in one process on loopback. */
export class CarrierRig {
  readonly codec = new PlainTargetCodec()
  readonly metrics = new GatewayMetrics()
  readonly log = new EventLog(bunyan.createLogger({ name: 'test', level: bunyan.FATAL + 1 }), () => performance.now())
  readonly announcements = new TargetAnnouncements({ log: this.log, metrics: this.metrics })
  readonly load = new HostLoad()
  readonly memory = new MessageMemory(1_000_000)
  /** Memory for bodies at the host that the attempts come from. */
  readonly originBodies = new MessageMemory(1_000_000)
  readonly bodies = new MessageMemory(1_000_000)
  readonly originMemory = new MessageMemory(100_000)
  /** What the carrier's state says of the target. */
  isClosed = false
  isHeldBack = false
  isLostAtCarrier = false
  isLeaving = false
  /** Number of times that a host became silent. */
  silences = 0
  readonly unanswered: SuspectId[] = []
  readonly stop = new AbortController()
  readonly originTarget: TargetState
  readonly carrierTarget: TargetState
  readonly client: CarrierClient
  private readonly origin = makeHost('origin', 1)
  private readonly carrierFleet = new FleetState(FLEET_LISTENER)
  private readonly server: CarrierServer

  private constructor (targetPort: number, readonly carrier: HostEntry, ownIp: string) {
    const now = performance.now()
    const originFleet = new FleetState(FLEET_LISTENER)
    for (const host of [this.origin, carrier]) originFleet.putHost(host)
    for (const host of [{ ...this.origin, ip: ownIp }, carrier]) this.carrierFleet.putHost(host)
    this.originTarget = makeTarget({ port: targetPort }, now)
    this.carrierFleet.putTarget(this.originTarget.entry, now)
    this.carrierTarget = this.carrierFleet.findTarget(this.originTarget.entry.id) as TargetState
    const roundTripTimes = new RoundTripTimes('akl')
    const getNow = (): number => performance.now()
    this.client = new CarrierClient({ own: this.origin, view: new PeerView(this.origin, originFleet), codec: this.codec, memory: this.originMemory, bodies: this.originBodies, roundTripTimes, metrics: this.metrics, log: this.log, handleSilence: () => { this.silences += 1 }, getNow, random: () => 0.5 })
    const pools = new TargetPools({ codec: this.codec, getNow, memory: this.memory, observeUnsound: () => undefined }, roundTripTimes, { countOpened: () => undefined, observeConnect: () => undefined, observeFailure: () => undefined, observeStray: () => undefined })
    this.server = new CarrierServer({
      guard: makeTestGuard(),
      own: carrier,
      fleet: this.carrierFleet,
      view: new PeerView(carrier, this.carrierFleet),
      load: this.load,
      memory: this.memory,
      bodies: this.bodies,
      log: this.log,
      metrics: this.metrics,
      codec: this.codec,
      pools,
      roundTripTimes,
      announcements: this.announcements,
      prober: { probe: () => Promise.resolve() } as unknown as TargetProber,
      links: { isLost: () => this.isLostAtCarrier, verifyLoss: () => Promise.resolve(this.isLostAtCarrier), addSend: () => () => undefined, observeAnswer: () => undefined, probe: () => Promise.resolve(true) } as unknown as LinkMonitor,
      quarantine: { isHeldBack: () => this.isHeldBack, observeUnanswered: (_: TargetState, id: SuspectId) => { this.unanswered.push(id) } } as unknown as Quarantine,
      isClosed: () => this.isClosed,
      getNow,
      isLeaving: () => this.isLeaving,
      logError: () => undefined
    })
  }

  /** @param originIp address at which the carrier knows the origin */
  static async start (targetPort: number, originIp = '127.0.0.1'): Promise<CarrierRig> {
    const rig = new CarrierRig(targetPort, makeHost('carrier', await findFreePort()), originIp)
    await rig.server.listen('127.0.0.1', rig.carrierPort, rig.stop.signal)
    return rig
  }

  get carrierPort (): number {
    return this.carrier.peerPort
  }

  get carried (): number {
    return this.server.countUnanswered()
  }

  carry (options: { id?: string, timeoutMs?: number, signal?: AbortSignal, allowedRegions?: string[], isTrial?: boolean, body?: Buffer, handleSend?: () => void, findStopReason?: () => string | undefined } = {}): Promise<CarryOutcome> {
    return this.client.carry({
      request: makeRequest({ id: options.id ?? 'r1', body: options.body ?? Buffer.alloc(0) }),
      target: this.originTarget,
      allowedRegions: options.allowedRegions ?? [],
      deadline: performance.now() + (options.timeoutMs ?? 2_000),
      suspectId: SUSPECT_ID,
      isTrial: options.isTrial ?? false,
      findStopReason: options.findStopReason ?? (() => undefined),
      handleSend: options.handleSend ?? (() => undefined)
    }, options.signal ?? new AbortController().signal)
  }

  close (): void {
    this.client.close()
    this.stop.abort()
  }
}

const makeHost = (name: string, peerPort: number): HostEntry => ({ name, incarnation: '1', availabilityZone: 'akl-a', region: 'akl', ip: '127.0.0.1', callerPort: 1, peerPort })

const findFreePort = async (): Promise<number> => {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  return port
}
