import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PlannedStop } from '../plannedStop.js'

const test = suite('PlannedStop')

/** Runs a stop with the numbers of requests that are running, arriving and carried for other hosts at each check. */
const run = async (graceMs: number, counts: { unanswered?: () => number, arriving?: () => number, carried?: () => number, lingering?: () => number }): Promise<{ calls: string[], tookMs: number }> => {
  const calls: string[] = []
  const stop = new PlannedStop({
    callers: {
      leave: () => { calls.push('leave') },
      close: () => { calls.push('close') },
      countUnanswered: counts.unanswered ?? (() => 0),
      countArriving: counts.arriving ?? (() => 0),
      countLingering: counts.lingering ?? (() => 0)
    },
    countCarried: counts.carried ?? (() => 0),
    graceMs,
    getNow: () => performance.now()
  })
  const startedAt = performance.now()
  assert.is(stop.endsAt, Infinity)
  await stop.run()
  assert.ok(stop.isFinishing)
  return { calls, tookMs: performance.now() - startedAt }
}

test('a host without requests closes its port and is done', async () => {
  assert.equal((await run(6_000, {})).calls, ['leave', 'close'])
})

// Guards against a request that is read to its end, and sent to a target, while the process ends.
test('a stop waits for requests of which a part has arrived, but not for ever', async () => {
  let looks = 0
  await run(6_000, { arriving: () => { looks += 1; return looks < 5 ? 1 : 0 } })
  assert.is(looks, 5)
  const { tookMs } = await run(60_000, { arriving: () => 1 })
  assert.ok(tookMs < 30_000)
})

test('a stop ends before the grace period, whatever runs', async () => {
  const { tookMs } = await run(4_000, { unanswered: () => 1 })
  assert.ok(tookMs >= 3_600)
  let carried = 3
  await run(60_000, { carried: () => { carried -= 1; return carried } })
  assert.is(carried, 0)
})

// Guards against a last answer that is cut off in the kernel's buffer by the end of the process.
test('a stop waits for callers that are receiving their last answers, but not for ever', async () => {
  let looks = 0
  await run(6_000, { lingering: () => { looks += 1; return looks < 3 ? 1 : 0 } })
  assert.is(looks, 3)
  await run(6_000, { lingering: () => 1 })
})

test.run()
