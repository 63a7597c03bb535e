import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DrainPacer } from '../drainPacer.js'
import { PacingHold } from '../pacingHold.js'

const STEP_MS = 250

test('a drain stays under the cap and reports that the cap limits it', () => {
  // An operator drains a region whose link to the next region carries 30 requests at a time. Moved
  // all at once, 100 requests would overload the link and stall its other traffic.
  const pacer = new DrainPacer()
  for (let now = 0; now < 60_000; now += STEP_MS) {
    const status = pacer.advance({ wantedShare: 1, demand: 100, running: 70, receiversHeadroom: 1_000, cap: 30 }, now)
    assert.ok(status.movedShare * 100 <= 30 + 1e-9)
  }
  const status = pacer.advance({ wantedShare: 1, demand: 100, running: 70, receiversHeadroom: 1_000, cap: 30 }, 60_000)
  assert.is(status.heldBy, PacingHold.cap)
  assert.match(status.message, '30% of new work moved')
  const shrunk = pacer.advance({ wantedShare: 1, demand: 100, running: 70, receiversHeadroom: 1_000, cap: 10 }, 60_250)
  assert.is(shrunk.movedShare, 0.1)
})

test('a drain waits for receivers without headroom and ends when nothing runs', () => {
  const pacer = new DrainPacer()
  pacer.advance({ wantedShare: 1, demand: 100, running: 100, receiversHeadroom: 0 }, 0)
  const held = pacer.advance({ wantedShare: 1, demand: 100, running: 100, receiversHeadroom: 0 }, 5_000)
  assert.equal([held.movedShare, held.heldBy, held.heldSince], [0, PacingHold.receivers, 0])
  let now = 5_000
  while (pacer.movedShare < 1) pacer.advance({ wantedShare: 1, demand: 100, running: 5, receiversHeadroom: 50 }, now += STEP_MS)
  assert.ok(now >= 14_000, 'no faster than a tenth a second')
  assert.is(pacer.advance({ wantedShare: 1, demand: 100, running: 5, receiversHeadroom: 50 }, now).heldBy, PacingHold.running)
  assert.is(pacer.advance({ wantedShare: 1, demand: 100, running: 0, receiversHeadroom: 50 }, now).heldBy, PacingHold.done)
})

test.run()
