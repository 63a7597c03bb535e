import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { runLinkDay } from '../__fixtures__/runLinkDay.js'

const test = suite('hosts that lose their links to targets, in virtual time')
/** MODEL_SEEDS says how many random days are run. */
const COUNT = Number(process.env['MODEL_SEEDS'] ?? 12)

// Guards against callers that are not served during a cut, false exits, missed ones, and detours before a cut or long after it.
for (let seed = 1; seed <= COUNT; seed += 1) {
  test(`callers are served in every cut, and only true exits are counted, seed ${seed}`, async () => {
    assert.equal(await runLinkDay(seed), { unserved: [], falseExits: [], missedExits: [], hostsWithLostLinks: [], isCalmDirect: true })
  })
}

test.run()
