import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Configuration } from 'almondrelay'
import { DeclaredSteering } from '../../version/declaredSteering.js'
import { ShiftCapUsage } from '../shiftCapUsage.js'

const test = suite('ShiftCapUsage')
const SEED = 20_261_203
const makeCap = (maxInFlight: number, service?: string): DeclaredSteering => new DeclaredSteering(Configuration.restore(1, [
  { kind: 'ShiftCap', name: 'cap', revision: 1, spec: { from: 'akl', to: 'wlg', maxInFlight, ...(service === undefined ? {} : { service }) } }
]), 'akl')

test('requests above the cap stay, and each answer makes room', () => {
  const use = new ShiftCapUsage()
  const steering = makeCap(4)
  for (let sent = 0; sent < 2; sent += 1) use.begin('balances', 'wlg')
  assert.not(use.allow(steering, 'requests', 'wlg', 2))
  assert.ok(use.allow(steering, 'requests', 'chc', 2))
  use.finish('balances', 'wlg')
  assert.ok(use.allow(steering, 'requests', 'wlg', 2))
})

test('a cap for one service does not affect the others', () => {
  const use = new ShiftCapUsage()
  use.begin('requests', 'wlg')
  assert.ok(use.allow(makeCap(1, 'balances'), 'balances', 'wlg', 1))
  assert.ok(use.allow(makeCap(1, 'balances'), 'requests', 'wlg', 1))
})

test('a host that does not know the fleet shifts nothing under a cap', () => {
  assert.not(new ShiftCapUsage().allow(makeCap(100), 'balances', 'wlg', undefined))
})

// An operator caps a shift so that the link between two regions isn't filled. Hosts join and leave, and each sees the fleet a
// little late. If a host counted fewer hosts than may send, the sum of their shares would exceed the cap.
test('property: in any order of requests and answers the sum stays within the cap, if no host counts too few hosts', () => {
  const step = fc.record({ host: fc.nat(4), ends: fc.boolean(), seen: fc.integer({ min: 5, max: 9 }) })
  fc.assert(fc.property(fc.integer({ min: 0, max: 40 }), fc.array(step, { maxLength: 300 }), (cap, steps) => {
    const steering = makeCap(cap)
    const hosts = Array.from({ length: 5 }, () => new ShiftCapUsage())
    for (const { host, ends, seen } of steps) {
      const use = hosts[host] as ShiftCapUsage
      if (ends && use.countRunning('wlg') > 0) use.finish('balances', 'wlg')
      else if (use.allow(steering, 'balances', 'wlg', seen)) use.begin('balances', 'wlg')
      assert.ok(hosts.reduce((sum, each) => sum + each.countRunning('wlg'), 0) <= cap)
    }
  }), { seed: SEED })
})

test.run()
