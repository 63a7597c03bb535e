import bunyan from 'bunyan'
import { HostSlots } from '../../../process/limits/hostSlots.js'
import { FakeClock } from '../../../process/platform/__fixtures__/fakeClock.js'
import { FakePlatform } from '../../../process/platform/__fixtures__/fakePlatform.js'
import { createSeededRandom } from '../../../request/createSeededRandom.js'
import { RosterTask } from '../rosterTask.js'
import { SlotLeaseTask } from '../slotLeaseTask.js'
import { FakeLimitPeers } from './fakeLimitPeers.js'

const ZONE = 'akl-a'
const SERVICE = 's'
const TARGETS = ['t1', 't2', 't3', 't4', 't5', 't6'].map((name) => ({ name, address: '127.0.0.1:9', availabilityZone: ZONE, slots: 4, connections: 10 }))

interface ZoneHost {
  slots: HostSlots
  rosterTask: RosterTask
  stop: AbortController
}

/** Runs the hosts of one zone with their limits tasks on a shared fake platform in virtual time. */
export class LimitsZone {
  readonly clock = new FakeClock()
  readonly platform = new FakePlatform(this.clock)
  readonly hosts = new Map<string, ZoneHost>()
  readonly disconnected = new Set<string>()
  private readonly slots = new Map<string, HostSlots>()

  constructor (readonly maxDeadlineMs: number) {}

  addHost (name: string, incarnation = 1): ZoneHost {
    const self = { name, incarnation }
    const slots = new HostSlots({ host: name, incarnation, availabilityZone: ZONE })
    slots.adoptTargets(SERVICE, TARGETS, this.maxDeadlineMs, this.clock.getNow())
    const rosterTask = new RosterTask({
      platform: this.platform,
      slots,
      self,
      availabilityZone: ZONE,
      isWatcher: () => true,
      clock: this.clock,
      random: createSeededRandom(incarnation + name.length),
      log: bunyan.createLogger({ name: 'test', level: bunyan.FATAL + 1 })
    })
    const host = { slots, rosterTask, stop: new AbortController() }
    this.hosts.set(name, host)
    this.slots.set(name, slots)
    const peers = new FakeLimitPeers(self, this.slots, this.disconnected, this.clock)
    rosterTask.run(host.stop.signal).catch(() => undefined)
    new SlotLeaseTask({ slots, peers, clock: this.clock }).run(host.stop.signal).catch(() => undefined)
    return host
  }

  kill (name: string): void {
    this.hosts.get(name)?.stop.abort()
    this.hosts.delete(name)
    this.slots.delete(name)
  }

  /** Returns the number of slots that a host has free over all targets. */
  countFreeSlots (name: string): number {
    const free = this.hosts.get(name)!.slots.getFree(SERVICE, this.clock.getNow())
    return [...free.values()].reduce((sum, count) => sum + count, 0)
  }

  countAllFreeSlots (): number {
    return [...this.hosts.keys()].reduce((sum, name) => sum + this.countFreeSlots(name), 0)
  }

  async readRoster (): Promise<string[]> {
    const entry = await this.platform.get(`roster/${ZONE}`, new AbortController().signal)
    return JSON.parse(entry!.value).hosts.map((host: { name: string, incarnation: number }) => `${host.name};${host.incarnation}`).sort()
  }
}
