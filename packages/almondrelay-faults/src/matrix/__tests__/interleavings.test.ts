import { test } from 'uvu'
import fc from 'fast-check'
import { TargetFault } from '../../fleet/targetFault.js'
import { runInterleaving } from '../runInterleaving.js'

const SEED = 20261202
const RUNS = 400

const step = fc.record({
  action: fc.oneof(
    { weight: 5, arbitrary: fc.constant('send' as const) },
    { weight: 3, arbitrary: fc.constant('repeat' as const) },
    { weight: 7, arbitrary: fc.constantFrom('kill' as const, 'freeze' as const, 'wake' as const, 'cut' as const, 'loseAnswers' as const, 'break' as const, 'delay' as const, 'silence' as const, 'heal' as const, 'target' as const, 'drain' as const) }
  ),
  host: fc.integer({ min: 0, max: 2 }),
  peer: fc.integer({ min: 0, max: 20 }),
  zone: fc.constantFrom('akl-a', 'wlg-a', 'chc-a'),
  targetFault: fc.constantFrom(...Object.values(TargetFault)),
  waitMs: fc.constantFrom(0, 1, 3, 10, 50, 300, 1_200, 4_000)
})

// Callers send approvals and repeat them through any host while hosts are killed, frozen and woken,
// links are cut either way, break or go silent, targets misbehave and zones are drained, in any order. What a
// caller is told must agree with what the targets ran, and no target runs more than its slots.
test('over random interleavings nothing runs twice, and not-run means not run', async () => {
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 3, maxLength: 30 }), async (steps) => {
    await runInterleaving(steps, SEED)
  }), { seed: SEED, numRuns: RUNS })
})

test.run()
