import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseOwners } from '../chooseOwners.js'

const TARGETS = Array.from({ length: 600 }, (_, index) => `approvals/akl-a-${index}`)

const makeHosts = (count: number) => Array.from({ length: count }, (_, index) => ({ name: `akl-a-${index + 1}`, incarnation: 1 }))

test('targets spread over hosts, and a loss moves only those of the lost host, to their standby', () => {
  for (const count of [2, 10, 60]) {
    const hosts = makeHosts(count)
    const owned = new Map<string, number>()
    for (const target of TARGETS) {
      const before = chooseOwners(target, { hosts })
      owned.set(before.owner!.name, (owned.get(before.owner!.name) ?? 0) + 1)
      const after = chooseOwners(target, { hosts: hosts.slice(1) })
      assert.is(after.owner, before.owner === hosts[0] ? before.standby : before.owner)
    }
    assert.is(owned.size, count)
    assert.ok(Math.max(...owned.values()) < 2.5 * TARGETS.length / count)
  }
})

test.run()
