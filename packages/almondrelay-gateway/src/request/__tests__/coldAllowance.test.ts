import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../__fixtures__/makeTarget.js'
import { ColdAllowance } from '../coldAllowance.js'

const test = suite('ColdAllowance')
const PER_SECOND = 14
/** The operators' bound in any second: one and a half times the rate, and a few more. */
const ALLOWED = PER_SECOND * 1.5 + 5
const NAMES = ['akl-1', 'akl-2', 'akl-3', 'akl-4']
const SEED = 20_261_202

// The targets of a zone come back cold. If every host sent to them, they would crash above the rate that they can take, and the
// zone would be lost again. The worst case is a host that joins or leaves just then, so that two hosts take themselves for the
// one that sends.
test('two hosts with different views of the fleet stay within the bound', () => {
  const pick = fc.subarray(NAMES, { minLength: 1 })
  fc.assert(fc.property(fc.array(pick, { minLength: 2, maxLength: 2 }), fc.array(fc.integer({ min: 0, max: 30 }), { minLength: 200, maxLength: 300 }), (views, gaps) => {
    const target = makeTarget({ coldForMs: 60_000 })
    const allowances = new Map(NAMES.map((name) => [name, new ColdAllowance(name)]))
    const sends: number[] = []
    let now = 0
    for (const [index, gap] of gaps.entries()) {
      now += gap
      const name = NAMES[index % NAMES.length] as string
      const view = views[index % NAMES.length < 2 ? 0 : 1]
      const allowance = allowances.get(name) as ColdAllowance
      if (!allowance.allow(target, PER_SECOND, view, now)) continue
      allowance.observeSend(target, PER_SECOND, now)
      sends.push(now)
    }
    for (const end of sends) assert.ok(sends.filter((at) => at <= end && at > end - 1_000).length <= ALLOWED)
  }), { seed: SEED, numRuns: 200 })
})

test('of hosts with the same view of the fleet exactly one sends, and a host that does not know the fleet sends nothing', () => {
  const target = makeTarget({ coldForMs: 3_000 })
  const senders = NAMES.filter((name) => new ColdAllowance(name).allow(target, PER_SECOND, NAMES, 0))
  assert.is(senders.length, 1)
  assert.not(new ColdAllowance(senders[0] as string).allow(target, PER_SECOND, undefined, 0))
})

test.run()
