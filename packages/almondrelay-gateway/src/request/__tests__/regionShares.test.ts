import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { computeRegionShares } from '../computeRegionShares.js'
import { RegionShares } from '../regionShares.js'

const test = suite('RegionShares')
const SHIFT_SHARE = 0.15
/** Ratio of a round trip of 40 ms to work of 90 ms. */
const FAR_ROUND_TRIP_RATIO = 0.44
const listKeys = () => Array.from({ length: 2_000 }, (_, index) => Math.imul(index + 1, 0x9e3779b1) >>> 0)

// A third of the callers are in a region with two of sixteen targets: its queue would grow without end while the other regions,
// 40 ms away, have free slots. The plan must send the excess there.
test('a region with too few targets sends the excess to regions with room', () => {
  const loads = [
    { region: 'akl', slots: 48, busySlots: 12 },
    { region: 'wlg', slots: 12, busySlots: 12 },
    { region: 'chc', slots: 36, busySlots: 12 }
  ]
  const shares = computeRegionShares({ ownRegion: 'wlg', loads, roundTripRatio: FAR_ROUND_TRIP_RATIO, currentShares: undefined })
  assert.ok((shares.get('wlg') ?? 0) < 0.6)
  assert.ok((shares.get('akl') ?? 0) > (shares.get('chc') ?? 0))
  assert.ok(Math.abs([...shares.values()].reduce((sum, part) => sum + part, 0) - 1) < 1e-9)
})

test('a region with room keeps its requests, and where all regions are full none sends requests away', () => {
  assert.is(computeRegionShares({ ownRegion: 'akl', loads: [{ region: 'akl', slots: 48, busySlots: 12 }, { region: 'wlg', slots: 12, busySlots: 12 }], roundTripRatio: FAR_ROUND_TRIP_RATIO, currentShares: undefined }).get('akl'), 1)
  assert.is(computeRegionShares({ ownRegion: 'akl', loads: [{ region: 'akl', slots: 0, busySlots: 12 }, { region: 'wlg', slots: 0, busySlots: 12 }], roundTripRatio: FAR_ROUND_TRIP_RATIO, currentShares: undefined }).get('akl'), 1)
})

// Work takes 770 ms, the round trip 40 ms. In a region whose targets are half busy on average, one target has twice the mean
// number of keys, and its callers wait for seconds while targets in the next region are idle.
test('where the round trip is negligible beside the work, a region is filled less than where it matters', () => {
  const loads = [{ region: 'akl', slots: 1_080, busySlots: 240 }, { region: 'wlg', slots: 228, busySlots: 240 }]
  const near = computeRegionShares({ ownRegion: 'wlg', loads, roundTripRatio: 0.05, currentShares: undefined }).get('wlg') ?? 0
  const far = computeRegionShares({ ownRegion: 'wlg', loads, roundTripRatio: FAR_ROUND_TRIP_RATIO, currentShares: undefined }).get('wlg') ?? 0
  assert.ok(near * 240 / 228 < 0.45, `${near}`)
  assert.ok(far * 240 / 228 > 0.5, `${far}`)
})

// The load of a small region rises and falls; its neighbours are 40 ms away, and work takes seconds where an object isn't cached.
// If its keys moved away and home again with every change, each would be worked on from scratch at both ends.
test('where the round trip is negligible beside the work, keys stay where they are for as long as possible', () => {
  const current = new Map([['wlg', 0.35], ['akl', 0.65]])
  const plan = (busySlots: number, tripPart: number, akl: number) => computeRegionShares({ ownRegion: 'wlg', loads: [{ region: 'akl', slots: 1_080, busySlots: akl }, { region: 'wlg', slots: 228, busySlots }], roundTripRatio: tripPart, currentShares: current })
  assert.equal(plan(150, 0.05, 300), current, 'the load falls')
  assert.ok((plan(150, FAR_ROUND_TRIP_RATIO, 300).get('wlg') ?? 0) > 0.7, 'where the others are far away, keys return home')
  const filledUse = (plan(600, 0.05, 300).get('wlg') ?? 1) * 600 / 228
  assert.ok(filledUse <= 900 / 1_308 * 1.1 + 1e-9, 'the load fills the region beyond the mean of all')
  const loads = [{ region: 'akl', slots: 100, busySlots: 90 }, { region: 'wlg', slots: 228, busySlots: 150 }, { region: 'chc', slots: 1_080, busySlots: 100 }]
  assert.ok((computeRegionShares({ ownRegion: 'wlg', loads, roundTripRatio: 0.05, currentShares: current }).get('akl') ?? 1) < 0.1, 'the region that serves the keys is full')
  assert.ok((computeRegionShares({ ownRegion: 'wlg', loads: [{ region: 'akl', slots: 0, busySlots: 0 }, { region: 'wlg', slots: 228, busySlots: 150 }], roundTripRatio: 0.05, currentShares: current }).get('wlg') ?? 0) === 1, 'the region that serves the keys is lost')
})

test('a small difference moves no shares, and a large one moves them nearly to the plan', () => {
  const shares = new RegionShares('wlg', SHIFT_SHARE)
  for (let now = 0; now <= 10_000; now += 250) shares.moveTowards(new Map([['wlg', 0.9], ['akl', 0.1]]), now)
  assert.is(shares.getShares().get('wlg'), 1)
  for (let now = 10_000; now <= 30_000; now += 250) shares.moveTowards(new Map([['wlg', 0.7], ['akl', 0.3]]), now)
  assert.ok((shares.getShares().get('wlg') ?? 0) < 0.74)
})

test('steps move no more keys than the bound on shifts allows in any two seconds, and reach the plan', () => {
  const shares = new RegionShares('wlg', SHIFT_SHARE)
  const plan = new Map([['wlg', 0.2], ['akl', 0.5], ['chc', 0.3]])
  const places: string[][] = []
  for (let now = 0; now <= 40_000; now += 250) {
    shares.moveTowards(plan, now)
    places.push(listKeys().map((keyHash) => shares.findHomeRegion(keyHash)))
  }
  for (let index = 8; index < places.length; index += 1) {
    const moved = places[index]?.filter((region, key) => region !== places[index - 8]?.[key]).length ?? 0
    assert.ok(moved / 2_000 <= SHIFT_SHARE, `${moved} of 2000`)
  }
  const last = places.at(-1) ?? []
  assert.ok(Math.abs(last.filter((region) => region === 'wlg').length / 2_000 - 0.2) < 0.05)
})

test.run()
