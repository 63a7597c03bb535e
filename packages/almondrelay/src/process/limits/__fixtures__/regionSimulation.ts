import type { Random } from '../../../request/random.js'
import { Configuration } from '../../../version/configuration.js'
import { computeZoneFloor } from '../computeZoneFloor.js'
import type { PlannedLoan } from '../plannedLoan.js'
import type { RosterHost } from '../rosterHost.js'
import { ZoneSimulation } from './zoneSimulation.js'
import { RegionHost } from './regionHost.js'
import { TargetWork } from './targetWork.js'
import type { SimulationOptions } from './simulationOptions.js'

const ZONES = ['wlg-a', 'wlg-b']
const LENDER_TTL_MS = 800

/** Simulates the hosts of one region's zones, which share the region's capacity, given as `slots` in the options. */
export class RegionSimulation extends ZoneSimulation<RegionHost> {
  readonly work = new TargetWork()
  /** Maximum number of requests that ran concurrently so far. */
  maxConcurrent = 0
  private countedAfter = -Infinity
  private limit: number
  private configuration: Configuration
  /** Holder of the platform's key `lenders/<region>` and the time at which its lease ends. */
  private lender: { name: string, incarnation: number, until: number } | undefined

  constructor (seed: number, options: SimulationOptions) {
    super(seed, options, ZONES)
    this.limit = options.slots
    this.configuration = this.makeConfiguration(options.slots)
    for (let index = 0; index < options.hosts * ZONES.length; index += 1) this.addHost({ name: `h${index}`, incarnation: 1 }, ZONES[index % ZONES.length]!)
  }

  /** Changes the limit; each host adopts it after a delay of its own, in order. */
  setLimit (limit: number): void {
    this.limit = limit
    this.configuration = this.makeConfiguration(limit)
  }

  /** Makes every host adopt the current limit at once; from here on only work begun later is counted. */
  adoptEverywhere (): void {
    this.live.forEach((host) => host.adoptConfiguration(this.configuration, this.real))
    this.countedAfter = this.real
    this.maxConcurrent = 0
  }

  /** Whether the whole limit is usable, except for the floors of zones that have lost their last host. */
  isFullyUsable (): boolean {
    const usable = this.live.reduce((sum, host) => sum + host.countUsable(this.real), 0)
    const lost = ZONES.filter((zone) => !this.live.some((host) => host.availabilityZone === zone))
    return usable === this.limit - lost.reduce((sum, zone) => sum + computeZoneFloor(this.limit, ZONES, zone), 0)
  }

  protected createHost (self: RosterHost, zone: string, random: Random): RegionHost {
    const host = new RegionHost(self, zone, this.options, random, this.work)
    host.adoptConfiguration(this.configuration, this.real)
    return host
  }

  protected advanceHost (host: RegionHost): void {
    host.advance(this.real)
    this.measure()
    if (this.random() < 0.3) this.sendLoans(host)
    if (this.random() < 0.2) this.renewLender(host)
    if (this.random() < 0.1) host.adoptConfiguration(this.configuration, this.real)
  }

  protected measure (): void {
    this.maxConcurrent = Math.max(this.maxConcurrent, this.work.count(this.real, this.countedAfter))
  }

  private sendLoans (host: RegionHost): void {
    for (const planned of host.limits.planLoans(host.computeNow(this.real))) {
      const other = planned.host === undefined ? this.findLender() : this.find(planned.host)
      if (other === undefined) continue
      this.send(host, other, () => this.receiveLoan(host, other, planned))
    }
  }

  private receiveLoan (host: RegionHost, other: RegionHost, planned: PlannedLoan): void {
    const now = other.computeNow(this.real)
    const lender = planned.host === undefined ? other.lender : other.limits
    const answer = lender.lend(host.self, planned.request, now)
    if (answer === undefined) return
    this.send(other, host, () => {
      const sentAt = this.options.guardOff === 'termFromSending' ? host.computeNow(this.real) : planned.request.sentAt
      host.limits.acceptLoan({ ...planned, request: { ...planned.request, sentAt } }, answer)
    })
  }

  /** Takes the key if it is free, or renews its lease if the host holds it. The platform's clock is real time. */
  private renewLender (host: RegionHost): void {
    const isHolder = this.lender?.name === host.self.name && this.lender.incarnation === host.self.incarnation
    if (this.lender !== undefined && this.real < this.lender.until && !isHolder) return
    const sentAt = host.computeNow(this.real)
    // The holder counts a shorter term than the platform grants, since the platform's clock may run faster than its own.
    const termMs = LENDER_TTL_MS * (1 - this.options.limits.drift)
    this.askPlatform(
      () => { this.lender = { ...host.self, until: this.real + LENDER_TTL_MS } },
      () => host.lender.acceptAuthority(sentAt, termMs, false, host.computeNow(this.real))
    )
  }

  private findLender (): RegionHost | undefined {
    return this.lender === undefined ? undefined : this.find(this.lender.name)
  }

  private makeConfiguration (limit: number): Configuration {
    const spec = { availabilityZones: ZONES, maxInFlight: limit, clientBlocks: [] }
    return Configuration.restore(1, [{ kind: 'Region', name: RegionHost.region, spec, revision: 1 }])
  }
}
