import { Registry } from 'prom-client'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { computeHash } from '../../../version/computeHash.js'
import type { Organisation } from '../../../version/organisation.js'
import { OrganisationTable } from '../../../version/organisationTable.js'
import type { FleetState } from '../../fleet/fleetState.js'
import type { EventLog } from '../../observe/eventLog.js'
import { ShareMetrics } from '../../observe/shareMetrics.js'
import type { PeerView } from '../../peers/peerView.js'
import { createWorkShares } from '../createWorkShares.js'

const test = suite('createWorkShares')
const SERVICE = 'balances'
const ORGANISATIONS = 73
const LISTED = 64

// Guards against a cost of each change of shares that grows with the square of the organisations: all names were hashed for each listed one.
test('names of organisations are read once for each configuration, and shares are shown under them', async () => {
  let reads = 0
  const makeOrganisation = (name: string): Organisation => ({ get name () { reads += 1; return name }, keys: [], priority: 0, ratePerSecond: 0, burst: 0, allowedRegions: [] })
  const makeTable = (prefix: string): OrganisationTable => new OrganisationTable(Array.from({ length: ORGANISATIONS }, (_, index) => makeOrganisation(`${prefix} ${index}`)))
  const fleet = { organisations: makeTable('old') } as unknown as FleetState
  const registry = new Registry()
  const own = { name: 'c', incarnation: 'i1', availabilityZone: 'one', region: 'akl', ip: '10.0.0.1', callerPort: 1, peerPort: 2 }
  const view = { isAggregator: () => false, listAggregators: () => [] } as unknown as PeerView
  const shares = createWorkShares({ own, view, fleet, log: { report: () => undefined } as unknown as EventLog, shareMetrics: new ShareMetrics(registry), getNow: () => 0 })
  shares.observeOutcome(SERVICE, 1, true, false, 0)
  for (const prefix of ['old', 'new']) {
    if (prefix === 'new') fleet.organisations = makeTable(prefix)
    const organisations = new Map(Array.from({ length: LISTED }, (_, index) => [computeHash(`${prefix} ${index}`), { fraction: 0.5, askedMs: 100 + index }]))
    const snapshots = new Map([[computeHash(SERVICE), { ageMs: 0, snapshot: { capacityMs: 1_000, marginPriority: 0, shareMs: 50, organisations, routes: new Map() } }]])
    for (let round = 0; round < 10; round += 1) shares.receiveReport('a', own, { own: undefined, zone: undefined, shares: { clockMs: 1, snapshots } }, round * 10)
    assert.match(await registry.metrics(), `organisation="${prefix} ${LISTED - 1}"`)
  }
  assert.is(reads, 2 * ORGANISATIONS)
})

test.run()
