import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Configuration, type Resource } from 'almondrelay'
import { DeclaredSteering } from '../../version/declaredSteering.js'
import { planDeclaredShares } from '../planDeclaredShares.js'

const test = suite('planDeclaredShares')
const regions = ['akl', 'wlg', 'chc']
const plan = (resources: Resource[], byLoad = new Map([['akl', 0.7], ['wlg', 0.3]]), ownBusySlots = 10): Record<string, number> => {
  const steering = new DeclaredSteering(Configuration.restore(1, resources), 'akl')
  const shares = planDeclaredShares({ service: 'balances', ownRegion: 'akl', regions, sharesByLoad: byLoad, steering, ownBusySlots })
  return Object.fromEntries([...shares].map(([region, share]) => [region, Math.round(share * 100) / 100]))
}
const drain = (region: string): Resource => ({ kind: 'Drain', name: `drain-${region}`, revision: 1, spec: { scope: 'region', name: region } })

test('without resources the shares are those by load', () => {
  assert.equal(plan([]), { akl: 0.7, wlg: 0.3 })
})

test('declared weights take precedence over the load', () => {
  assert.equal(plan([{ kind: 'SteeringPolicy', name: 'p', revision: 1, spec: { service: 'balances', from: 'akl', weights: { akl: 1, chc: 3 }, spill: true } }]), { akl: 0.25, chc: 0.75 })
})

test('a drained region gets nothing, and its share is divided among the others', () => {
  assert.equal(plan([drain('wlg')]), { akl: 1 })
  assert.equal(plan([drain('akl')], new Map([['akl', 1]])), { wlg: 0.5, chc: 0.5 })
})

// An operator drains every region, by mistake or one after the other. If callers were then sent nowhere, all would be refused
// although every target still works.
test('where every region is drained, the drains have no effect', () => {
  assert.equal(plan(regions.map(drain)), { akl: 0.7, wlg: 0.3 })
})

test('what exceeds a cap stays in the own region', () => {
  assert.equal(plan([{ kind: 'ShiftCap', name: 'c', revision: 1, spec: { from: 'akl', to: 'wlg', maxInFlight: 1 } }]), { akl: 0.92, wlg: 0.08 })
  assert.equal(plan([{ kind: 'ShiftCap', name: 'c', revision: 1, spec: { from: 'akl', to: 'wlg', maxInFlight: 0 } }]), { akl: 1, wlg: 0 })
})

test.run()
