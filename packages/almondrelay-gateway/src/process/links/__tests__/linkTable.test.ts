import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import type { TargetState } from '../../../request/targetState.js'
import { LinkTable } from '../linkTable.js'

const test = suite('LinkTable')
const ZONES = ['akl-a', 'akl-b', 'akl-c']
const PROBE_MS = 250

const makeTargets = (perZone: number): TargetState[] => ZONES.flatMap((availabilityZone) => Array.from({ length: perZone }, (_, index) => makeTarget({ id: `${availabilityZone}-${index}`, availabilityZone })))
const findTarget = (targets: readonly TargetState[], id: string): TargetState => targets.find(({ entry }) => entry.id === id) as TargetState
const createTable = (perZone = 3): { targets: TargetState[], table: LinkTable, lose: (id: string, now: number) => string[] } => {
  const targets = makeTargets(perZone)
  const table = new LinkTable(() => targets)
  return { targets, table, lose: (id, now) => table.markLost(findTarget(targets, id), now) }
}
/** Answers all probes that fall due until a time as `isReached` says. */
const runProbes = (table: LinkTable, from: number, to: number, isReached: (target: TargetState, now: number) => boolean): void => {
  for (let now = from; now <= to; now += 50) {
    for (const target of table.takeProbes(now)) table.observeProbe(target, isReached(target, now), now)
  }
}

// Guards against one request for each target that finds out by itself that the link is lost.
test('two lost links of a zone stand for all its links, and three of two zones for all', () => {
  const { targets, table, lose } = createTable()
  assert.equal(lose('akl-a-0', 0), [])
  assert.equal(lose('akl-a-1', 5), ['akl-a'])
  assert.ok(table.isLost(findTarget(targets, 'akl-a-2')))
  assert.not(table.isLost(findTarget(targets, 'akl-b-0')))
  assert.equal(lose('akl-b-0', 10), ['akl-b', 'akl-c'])
  assert.equal(table.listLostZones(), ZONES)
})

// Guards against a detour to targets that can be reached, because others of their zone can't.
test('links stand for no others while a target of the zone goes on answering', () => {
  const { targets, table, lose } = createTable()
  lose('akl-a-0', 0)
  table.observeContact(findTarget(targets, 'akl-a-2'), 5)
  assert.equal(lose('akl-a-1', 10), [])
  assert.not(table.isLost(findTarget(targets, 'akl-a-2')))
  assert.is(table.countLostTargets(), 2)
})

test('the only link of a zone stands for the zone', () => {
  const { lose } = createTable(1)
  assert.equal(lose('akl-a-0', 0), ['akl-a'])
})

// Guards against a host that stays on the way by other hosts although its links are back.
test('the links of a zone are used again once one of its targets is reached', () => {
  const { table, lose } = createTable()
  lose('akl-a-0', 0)
  lose('akl-a-1', 0)
  runProbes(table, 0, 1_000, () => false)
  assert.equal(table.listLostZones(), ['akl-a'])
  runProbes(table, 1_000, 1_000 + PROBE_MS, () => true)
  assert.equal(table.listLostZones(), [])
})

// Guards against requests that are lost at the beginning of each cut of a link that comes and goes every second.
test('a link that is lost again soon must be up for longer before it is used', () => {
  const { targets, table, lose } = createTable()
  const target = findTarget(targets, 'akl-a-0')
  const upSince = [0, 1_000, 3_000, 6_000]
  const usedAfter = upSince.map((since) => {
    lose('akl-a-0', since)
    for (let now = since; ; now += 50) {
      for (const probed of table.takeProbes(now)) table.observeProbe(probed, true, now)
      if (!table.isLost(target)) return now - since
    }
  })
  assert.equal(usedAfter, [250, 750, 1_250, 2_250])
})

test('a failed probe begins the time anew for which the link must be up', () => {
  const { targets, table, lose } = createTable()
  const target = findTarget(targets, 'akl-a-0')
  lose('akl-a-0', 0)
  runProbes(table, 0, 500, () => true)
  lose('akl-a-0', 600)
  runProbes(table, 600, 3_000, (_, now) => Math.floor(now / PROBE_MS) % 2 === 0)
  assert.ok(table.isLost(target))
})

test('a target that has left is forgotten, and a zone without targets is lost no more', () => {
  const { targets, table, lose } = createTable(1)
  lose('akl-a-0', 0)
  table.drop(targets.shift() as TargetState)
  table.takeProbes(PROBE_MS)
  assert.equal(table.listLostZones(), [])
})

test.run()
