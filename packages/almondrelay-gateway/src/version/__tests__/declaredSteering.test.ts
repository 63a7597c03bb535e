import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Configuration, type Resource } from 'almondrelay'
import { DeclaredSteering } from '../declaredSteering.js'

const test = suite('DeclaredSteering')
const makeSteering = (resources: Resource[], ownRegion = 'akl'): DeclaredSteering => new DeclaredSteering(Configuration.restore(1, resources), ownRegion)
const target = { id: 't1', service: 'balances', availabilityZone: 'akl-a', region: 'akl' }

test('a target is drained by a drain of itself or of its zone, and not by a drain of another target', () => {
  assert.ok(makeSteering([{ kind: 'Drain', name: 'd', revision: 1, spec: { scope: 'target', name: 't1', service: 'balances' } }]).isDrained(target))
  assert.ok(makeSteering([{ kind: 'Drain', name: 'd', revision: 1, spec: { scope: 'availabilityZone', name: 'akl-a' } }]).isDrained(target))
  assert.not(makeSteering([{ kind: 'Drain', name: 'd', revision: 1, spec: { scope: 'target', name: 't1', service: 'requests' } }]).isDrained(target))
  assert.not(DeclaredSteering.none.isDrained(target))
})

test('a drain of a region does not drain its targets, as its work moves in steps', () => {
  const steering = makeSteering([{ kind: 'Drain', name: 'd', revision: 1, spec: { scope: 'region', name: 'akl' } }])
  assert.not(steering.isDrained(target))
  assert.ok(steering.isRegionDrained('akl'))
})

test('a policy that names the region takes precedence over one for every region', () => {
  const every: Resource = { kind: 'SteeringPolicy', name: 'every', revision: 1, spec: { service: 'balances', from: '*', weights: { wlg: 1 }, spill: true } }
  const own: Resource = { kind: 'SteeringPolicy', name: 'own', revision: 1, spec: { service: 'balances', from: 'akl', weights: { akl: 1 }, spill: false } }
  assert.equal(makeSteering([own, every]).findWeights('balances'), { weights: { akl: 1 }, spill: false })
  assert.equal(makeSteering([own, every], 'chc').findWeights('balances'), { weights: { wlg: 1 }, spill: true })
  assert.is(makeSteering([own], 'chc').findWeights('balances'), undefined)
})

test('caps and links of the own region apply, by service where they name one', () => {
  const steering = makeSteering([
    { kind: 'ShiftCap', name: 'cap', revision: 1, spec: { from: 'akl', to: 'wlg', service: 'balances', maxInFlight: 4 } },
    { kind: 'ShiftCap', name: 'other', revision: 1, spec: { from: 'wlg', to: 'akl', maxInFlight: 1 } },
    { kind: 'Link', name: 'link', revision: 1, spec: { from: 'akl', to: 'wlg', latencyMs: 20, maxInFlight: 9 } }
  ])
  assert.equal(steering.listCaps('balances', 'wlg').map(({ name }) => name), ['cap', 'link'])
  assert.equal(steering.listCaps('requests', 'wlg').map(({ name }) => name), ['link'])
  assert.equal(steering.listCaps('balances', 'chc'), [])
})

test.run()
