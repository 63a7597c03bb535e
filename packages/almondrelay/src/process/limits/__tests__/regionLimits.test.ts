import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { RefusalReason } from '../../../request/refusalReason.js'
import { Configuration } from '../../../version/configuration.js'
import type { Resource } from '../../../version/resources/resource.js'
import { computeZoneFloor } from '../computeZoneFloor.js'
import { HostSlots } from '../hostSlots.js'
import { RegionLimits } from '../regionLimits.js'

const MAX_DEADLINE_MS = 10_000
const OWN = { service: 's', fromRegion: 'wlg', toRegion: 'wlg' }
const REMOTE = { service: 's', fromRegion: 'akl', toRegion: 'wlg' }

interface Sizes {
  region?: number
  link?: number
  cap?: number
}

function makeConfiguration (sizes: Sizes): Configuration {
  const resources: Resource[] = [
    { kind: 'Region', name: 'wlg', revision: 1, spec: { availabilityZones: ['wlg-a'], maxInFlight: sizes.region ?? 100, clientBlocks: [] } },
    { kind: 'Link', name: 'akl-wlg', revision: 1, spec: { from: 'akl', to: 'wlg', latencyMs: 20, maxInFlight: sizes.link ?? 100 } },
    { kind: 'ShiftCap', name: 'akl-wlg', revision: 1, spec: { from: 'akl', to: 'wlg', service: 's', maxInFlight: sizes.cap ?? 100 } }
  ]
  return Configuration.restore(1, resources)
}

/** Creates the limits of a host that is alone in its region's only zone and has no lender: its floor is half of each limit. */
function createLimits (sizes: Sizes): RegionLimits {
  const identity = { host: 'a', incarnation: 1, availabilityZone: 'wlg-a', region: 'wlg' }
  const slots = new HostSlots(identity)
  slots.adoptRoster({ version: 1, availabilityZone: 'wlg-a', hosts: [{ name: 'a', incarnation: 1 }] }, 0)
  const limits = new RegionLimits(identity, slots.claims)
  limits.adoptConfiguration(makeConfiguration(sizes), MAX_DEADLINE_MS, 0)
  return limits
}

test('each limit refuses with its own reason, and takes nothing from the others', () => {
  for (const [sizes, reason] of [
    [{ region: 2 }, RefusalReason.regionFull],
    [{ link: 2 }, RefusalReason.linkFull],
    [{ cap: 2 }, RefusalReason.shiftCapFull]
  ] as const) {
    const limits = createLimits(sizes)
    assert.ok(limits.acquire(REMOTE, 'r1', 1_000, 0).allowed)
    const refused = limits.acquire(REMOTE, 'r2', 1_000, 0)
    assert.is(refused.allowed === false && refused.reason, reason)
    limits.release('r1', 10)
    assert.ok(limits.acquire(REMOTE, 'r3', 1_000, 10).allowed)
  }
})

test('links and shift caps count only work from other regions, the region limit counts all work', () => {
  const limits = createLimits({ link: 0, cap: 0, region: 2 })
  assert.ok(limits.acquire(OWN, 'r1', 1_000, 0).allowed)
  assert.is(limits.countRunning('region/wlg'), 1)
  assert.is(limits.countFree({ ...REMOTE, service: 'other' }, 0), 0)
})

test('a lowered cap applies to the next request, whatever still runs', () => {
  const limits = createLimits({ cap: 8 })
  for (let index = 0; index < 4; index += 1) assert.ok(limits.acquire(REMOTE, `r${index}`, 1_000, 0).allowed)
  limits.adoptConfiguration(makeConfiguration({ cap: 4 }), MAX_DEADLINE_MS, 10)
  for (let index = 0; index < 2; index += 1) limits.release(`r${index}`, 20)
  assert.is(limits.acquire(REMOTE, 'r5', 1_000, 20).allowed, false)
  limits.release('r2', 30)
  assert.ok(limits.acquire(REMOTE, 'r6', 1_000, 30).allowed)
})

test('the capacity of a credit passes to its request, and is freed when a credit expires', () => {
  const limits = createLimits({ cap: 4 })
  assert.ok(limits.acquireForCredit(REMOTE, 'c1', 1_000, 0).allowed)
  assert.ok(limits.acquireForCredit(REMOTE, 'c2', 1_000, 0).allowed)
  assert.ok(limits.useCredit('c1', 'r1', 500))
  assert.is(limits.countFree(REMOTE, 999), 0)
  assert.is(limits.countFree(REMOTE, 1_000), 1)
  assert.is(limits.useCredit('c2', 'r2', 1_000), false)
  limits.release('r1', 1_100)
  assert.is(limits.countFree(REMOTE, 1_100), 2)
})

test('floors and the lent half make up the limit, and both grow with it', () => {
  const zones = ['wlg-c', 'wlg-a', 'wlg-b']
  for (let limit = 0; limit < 50; limit += 1) {
    const floors = zones.map((zone) => computeZoneFloor(limit, zones, zone))
    assert.is(floors.reduce((sum, floor) => sum + floor, 0) + Math.floor(limit / 2), limit)
    zones.forEach((zone, index) => assert.ok(computeZoneFloor(limit + 1, zones, zone) >= floors[index]!))
  }
})

test.run()
