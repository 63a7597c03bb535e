import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LoadReportStrategy } from '../__fixtures__/loadReportStrategy.js'
import { EqualSplitStrategy } from '../__fixtures__/equalSplitStrategy.js'
import { measureStrategy } from '../__fixtures__/measureStrategy.js'
import { SlotOwnershipStrategy } from '../__fixtures__/slotOwnershipStrategy.js'

const SEED = 20_261_202

/** A zone of the current size (two hosts) and one of the target size (sixty), each with one host that gets most of the work. */
const zones = [
  { name: 'today', hosts: 2, targets: 9, slots: 4, runMs: 20_000 },
  { name: 'target size', hosts: 60, targets: 180, slots: 4, runMs: 1_000 }
]

for (const zone of zones) {
  for (const load of [0.9, 1.5]) {
    test(`${zone.name}, load ${load}: slot ownership uses more than an equal split and never exceeds the limit, which correction by load reports does`, () => {
      const targets = Array.from({ length: zone.targets }, (_, index) => `t${index}`)
      const setting = { targets, slots: zone.slots, hosts: zone.hosts, load, hotPart: 0.6, seed: SEED, runMs: zone.runMs }
      const owners = measureStrategy(new SlotOwnershipStrategy(targets, zone.slots, zone.hosts), setting)
      const equal = measureStrategy(new EqualSplitStrategy(targets, Math.floor(zone.slots / zone.hosts)), setting)
      const corrected = measureStrategy(new LoadReportStrategy(targets, zone.slots), setting)
      console.log(zone.name, load, JSON.stringify({ owners, equal, corrected }))
      assert.is(owners.timeAbove, 0)
      assert.ok(owners.utilisation > equal.utilisation)
      assert.ok(corrected.worst > 1)
    })
  }
}

test.run()
