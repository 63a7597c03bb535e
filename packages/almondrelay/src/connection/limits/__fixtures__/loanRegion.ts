import bunyan from 'bunyan'
import { HostSlots } from '../../../process/limits/hostSlots.js'
import { listLimits } from '../../../process/limits/listLimits.js'
import type { LoanAnswer } from '../../../process/limits/loanAnswer.js'
import type { LoanRequest } from '../../../process/limits/loanRequest.js'
import { RegionLender } from '../../../process/limits/regionLender.js'
import { RegionLimits } from '../../../process/limits/regionLimits.js'
import type { RosterHost } from '../../../process/limits/rosterHost.js'
import { FakeClock } from '../../../process/platform/__fixtures__/fakeClock.js'
import { FakePlatform } from '../../../process/platform/__fixtures__/fakePlatform.js'
import { createSeededRandom } from '../../../request/createSeededRandom.js'
import { Configuration } from '../../../version/configuration.js'
import { handleLoan } from '../handleLoan.js'
import { LenderElection } from '../lenderElection.js'
import type { LenderKind } from '../lenderKind.js'
import { LoanPeers } from '../loanPeers.js'
import { LoanTask } from '../loanTask.js'

const REGION = 'wlg'
const ZONES = ['wlg-a', 'wlg-b']
const ROUTE = { service: 's', fromRegion: REGION, toRegion: REGION }
const MAX_DEADLINE_MS = 1_000

interface RegionHost {
  limits: RegionLimits
  lender: RegionLender
  lenderElection: LenderElection
  stop: AbortController
}

class FakeLoanPeers extends LoanPeers {
  constructor (private readonly self: RosterHost, private readonly region: LoanRegion) {
    super()
  }

  async tryBorrowCapacity (host: string, lender: LenderKind, request: LoanRequest): Promise<LoanAnswer | undefined> {
    const other = this.region.hosts.get(host)
    return other && handleLoan(other, this.self, lender, request, this.region.clock.getNow())
  }
}

/** Runs two zones of one host each, with the tasks that borrow and lend, on a shared fake platform in virtual time. */
export class LoanRegion {
  readonly clock = new FakeClock()
  readonly platform = new FakePlatform(this.clock)
  readonly hosts = new Map<string, RegionHost>()

  constructor (private readonly limit: number) {
    ZONES.forEach((zone) => this.addHost(`${zone}-1`, zone))
  }

  kill (name: string): void {
    this.hosts.get(name)?.stop.abort()
    this.hosts.delete(name)
  }

  /** Returns how many requests a host may run at once; one more than that is attempted, so that the host sees the demand. */
  countAdmitted (name: string): number {
    const { limits } = this.hosts.get(name)!
    const now = this.clock.getNow()
    let count = 0
    while (limits.acquire(ROUTE, `${name}/${count}`, now + MAX_DEADLINE_MS, now).allowed) count += 1
    for (let index = 0; index < count; index += 1) limits.release(`${name}/${index}`, now)
    return count
  }

  /** Advances the clock while every host requests as much capacity as it can get. */
  async advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 100) {
      [...this.hosts.keys()].forEach((name) => this.countAdmitted(name))
      await this.clock.advance(100)
    }
  }

  private addHost (name: string, availabilityZone: string): void {
    const self = { name, incarnation: 1 }
    const identity = { host: name, incarnation: 1, availabilityZone, region: REGION }
    const slots = new HostSlots(identity)
    slots.adoptRoster({ version: 1, availabilityZone, hosts: [self] }, 0)
    const configuration = Configuration.restore(1, [{ kind: 'Region', name: REGION, revision: 1, spec: { availabilityZones: ZONES, maxInFlight: this.limit, clientBlocks: [] } }])
    const limits = new RegionLimits(identity, slots.claims)
    limits.adoptConfiguration(configuration, MAX_DEADLINE_MS, 0)
    const lender = new RegionLender(self)
    lender.adoptLimits(listLimits(configuration, REGION), ZONES.length, MAX_DEADLINE_MS)
    const { clock, platform } = this
    const lenderElection = new LenderElection({
      platform,
      lender,
      self,
      region: REGION,
      isWatcher: () => true,
      drift: 0.01,
      clock,
      random: createSeededRandom(availabilityZone.charCodeAt(4)),
      log: bunyan.createLogger({ name: 'test', level: bunyan.FATAL + 1 })
    })
    const stop = new AbortController()
    this.hosts.set(name, { limits, lender, lenderElection, stop })
    lenderElection.run(stop.signal).catch(() => undefined)
    const task = new LoanTask({ limits, peers: new FakeLoanPeers(self, this), clock, findRegionLender: () => lenderElection.find() })
    task.run(stop.signal).catch(() => undefined)
  }
}
