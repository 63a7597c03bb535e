import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createSeededRandom } from 'almondrelay'
import type { HostEntry } from '../../fleet/hostEntry.js'
import { chooseCarrier } from '../chooseCarrier.js'

const test = suite('chooseCarrier')
const makeHost = (name: string, availabilityZone: string): HostEntry => ({ name, incarnation: '1', availabilityZone, region: availabilityZone.slice(0, 3), ip: '127.0.0.1', callerPort: 1, peerPort: 2 })
const own = makeHost('own', 'akl-a')
const HOSTS = [own, makeHost('a-1', 'akl-a'), makeHost('b-1', 'akl-b'), makeHost('b-2', 'akl-b'), makeHost('c-1', 'akl-c'), makeHost('w-1', 'wlg-a'), makeHost('w-2', 'wlg-b')]

type Context = Parameters<typeof chooseCarrier>[1]

const listChosen = (context: Partial<Context> = {}): string[] => {
  const random = createSeededRandom(3)
  const chosen = Array.from({ length: 200 }, () => chooseCarrier(HOSTS, { own, target: { availabilityZone: 'akl-b', region: 'akl' }, allowedRegions: [], isUsable: () => true, countCarried: () => 0, random, ...context })?.name ?? 'none')
  return [...new Set(chosen)].sort()
}

test('a host of the own zone or of the target\'s carries an attempt', () => {
  assert.equal(listChosen(), ['a-1', 'b-1', 'b-2'])
})

test('without one, a host of the region does, and without that any other', () => {
  assert.equal(listChosen({ isUsable: ({ availabilityZone }) => !['akl-a', 'akl-b'].includes(availabilityZone) }), ['c-1'])
  assert.equal(listChosen({ isUsable: ({ region }) => region !== 'akl' }), ['w-1', 'w-2'])
  assert.equal(listChosen({ isUsable: () => false }), ['none'])
})

// Guards against the body of a request at a host in a region in which it must not be.
test('only hosts of regions that the request allows carry it', () => {
  assert.equal(listChosen({ allowedRegions: ['wlg'] }), ['w-1', 'w-2'])
  assert.equal(listChosen({ allowedRegions: ['chc'] }), ['none'])
})

// Guards against one host that carries everything for its zone, or to which attempts go on after it has stopped answering.
test('of two hosts the one that carries less is taken', () => {
  const carried: Record<string, number> = {}
  const random = createSeededRandom(5)
  for (let count = 0; count < 300; count += 1) {
    const name = chooseCarrier(HOSTS, { own, target: { availabilityZone: 'akl-b', region: 'akl' }, allowedRegions: [], isUsable: () => true, countCarried: (host) => carried[host.name] ?? 0, random })?.name ?? ''
    carried[name] = (carried[name] ?? 0) + 1
  }
  assert.equal(Object.keys(carried).sort(), ['a-1', 'b-1', 'b-2'])
  assert.ok(Math.max(...Object.values(carried)) - Math.min(...Object.values(carried)) <= 5)
})

test.run()
