import type { Random } from '../../request/random.js'
import type { Configuration } from '../../version/configuration.js'
import { findDrainedTargets } from '../../version/findDrainedTargets.js'
import type { Clock } from '../platform/clock.js'
import { CreditTask } from './creditTask.js'
import type { DecisionModules } from './decisionModules.js'
import type { DecisionRecorder } from './decisionRecorder.js'
import type { HostDirectory } from './hostDirectory.js'
import type { HostIdentity } from './hostIdentity.js'
import type { KnownHost } from './knownHost.js'
import { RegionQueue } from './regionQueue.js'
import type { PeerLinks } from './peerLinks.js'
import { makeSender } from './makeSender.js'
import { rankCreditPeers } from './rankCreditPeers.js'
import { ServiceRuntime } from './serviceRuntime.js'
import type { SlotPool } from './slotPool.js'

interface ServicesParts {
  identity: HostIdentity
  clock: Clock
  random: Random
  modules: DecisionModules
  recorder: DecisionRecorder
  slots: SlotPool
  directory: HostDirectory
  links: PeerLinks
  maxQueued: number
  maxDeadlineMs: number
  signal: AbortSignal
}

/** Services of the current configuration, with their queues. */
export class Services {
  private readonly runtimes = new Map<string, ServiceRuntime>()
  private currentConfiguration: Configuration | undefined

  constructor (private readonly parts: ServicesParts) {}

  /** Undefined until this host has received a configuration; before that, no look-ups or requests are served. */
  get configuration (): Configuration | undefined {
    return this.currentConfiguration
  }

  adoptConfiguration (configuration: Configuration, now: number): void {
    const { identity, modules, slots, maxDeadlineMs } = this.parts
    this.currentConfiguration = configuration
    for (const { name, spec } of configuration.list('Service')) {
      const runtime = this.runtimes.get(name) ?? new ServiceRuntime(name, spec, modules.createChooser(name))
      this.runtimes.set(name, runtime)
      runtime.applySpec(spec, identity.availabilityZone, findDrainedTargets(configuration, name, spec), now)
      slots.adoptTargets(name, spec.targets, maxDeadlineMs, now)
    }
    for (const name of this.runtimes.keys()) {
      if (configuration.get('Service', name) === undefined) this.remove(name, now)
    }
    this.advance(now)
  }

  find (service: string): ServiceRuntime | undefined {
    return this.runtimes.get(service)
  }

  list (): ServiceRuntime[] {
    return [...this.runtimes.values()]
  }

  /** Returns the queue for the requests of one service in one region; created on first use. */
  getOrCreateQueue (runtime: ServiceRuntime, region: string): RegionQueue {
    const existing = runtime.queues.get(region)
    if (existing !== undefined) return existing
    const regionQueue = this.createQueue(runtime, region)
    runtime.queues.set(region, regionQueue)
    return regionQueue
  }

  /** Lets every queue start waiting requests; called when slots may have become free. */
  advance (now: number): void {
    for (const runtime of this.runtimes.values()) {
      for (const regionQueue of runtime.queues.values()) regionQueue.advance(now)
    }
  }

  private createQueue (runtime: ServiceRuntime, region: string): RegionQueue {
    const { identity, clock, random, modules, recorder, slots, directory, links, maxQueued, signal } = this.parts
    const task = {} as { current?: CreditTask }
    const rankPeers = (): KnownHost[] => rankCreditPeers({ service: runtime.name, region, identity, hosts: directory.list(), configuration: this.currentConfiguration, random })
    const regionQueue = new RegionQueue({
      service: runtime.name,
      region,
      queue: modules.createQueue(runtime.name, region, { maxQueued }),
      chooser: runtime.chooser,
      slots,
      usesOwnSlots: region === identity.region,
      clock,
      random,
      recorder,
      estimateCredits: () => rankPeers().reduce((sum, peer) => sum + (peer.freeSlots.get(runtime.name) ?? 0), 0),
      wakeCreditTask: () => { task.current?.wake() },
      returnCredits: (credits) => { void task.current?.returnCredits(credits) },
      signal
    })
    task.current = new CreditTask(regionQueue, {
      clock,
      directory,
      links,
      sender: makeSender(identity),
      rankPeers,
      signal
    })
    void task.current.run()
    return regionQueue
  }

  private remove (name: string, now: number): void {
    this.runtimes.delete(name)
    this.parts.slots.adoptTargets(name, [], this.parts.maxDeadlineMs, now)
  }
}
