import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../__fixtures__/makeTarget.js'
import { ColdAllowance } from '../coldAllowance.js'

const test = suite('ColdAllowance')
const PER_SECOND = 14
/** What the operators allow: one and a half times the rate and a few more, in any second. */
const ALLOWED = PER_SECOND * 1.5 + 5
const NAMES = ['akl-1', 'akl-2', 'akl-3', 'akl-4']
const SEED = 20_261_202

// A zone's targets come back cold and every host sends to them: above the rate they bear they crash, and the
// zone is lost again. One host joins or leaves at the worst moment, so that two take themselves for the one that sends.
test('two views of the fleet at once stay within the rate', () => {
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

test('exactly one of the hosts that agree sends, and nobody who does not know the fleet', () => {
  const target = makeTarget({ coldForMs: 3_000 })
  const senders = NAMES.filter((name) => new ColdAllowance(name).allow(target, PER_SECOND, NAMES, 0))
  assert.is(senders.length, 1)
  assert.not(new ColdAllowance(senders[0] as string).allow(target, PER_SECOND, undefined, 0))
})

test.run()
