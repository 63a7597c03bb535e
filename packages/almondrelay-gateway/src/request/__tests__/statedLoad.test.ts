import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../__fixtures__/makeTarget.js'
import { StatedLoad } from '../statedLoad.js'

const test = suite('StatedLoad')
const SLOW = { running: 2, waiting: 1, speedPercent: 250 }
const USUAL = { running: 2, waiting: 0, speedPercent: 100 }
const makeStated = (statement = SLOW, statedAt = 0): StatedLoad => {
  const stated = new StatedLoad()
  stated.receive(statement, statedAt)
  return stated
}

// Which targets are slow changes every 0.6 s. If a statement counted for longer, targets would be avoided long after they were slow.
test('a statement fades with its age and is then unknown', () => {
  const stated = makeStated()
  assert.is(stated.getSlowness(0), 2.5)
  const after = stated.getSlowness(600) ?? 0
  assert.ok(after > 1.5 && after < 1.6, String(after))
  assert.ok((stated.getSlowness(1_900) ?? 0) < 1.1)
  assert.is(stated.getSlowness(2_100), undefined)
  assert.is(stated.estimateOutstanding(2_100), undefined)
  assert.is(new StatedLoad().getSlowness(0), undefined)
})

// Guards against an old statement that arrives late, through another host, and replaces a newer one.
test('an older statement changes nothing', () => {
  const stated = makeStated(SLOW, 100)
  assert.not(stated.receive(USUAL, 100))
  assert.not(stated.receive(USUAL, 50))
  assert.is(stated.getSlowness(100), 2.5)
})

// A host's requests that are among those stated as running were counted twice, and its own requests kept away its next ones.
test('own sends count only from the statement on', () => {
  const stated = makeStated(SLOW, 0)
  stated.observeSend(10)
  stated.observeSend(20)
  assert.is(stated.estimateOutstanding(20), 5)
  stated.receive({ ...SLOW, running: 3 }, 15)
  assert.is(stated.estimateOutstanding(20), 5)
  for (let count = 0; count < 1_000; count += 1) stated.observeSend(30)
  assert.ok((stated.estimateOutstanding(30) ?? 0) <= 4 + 64, 'bounded')
})

// A target that always states that it is slow, or that it is fast, would get none or all of its keys' requests.
test('a target whose statements contradict the times of its answers is not trusted for some seconds', () => {
  for (const [speedPercent, workMs] of [[250, 110], [100, 800], [1, 110], [10_000, 370]] as const) {
    const stated = makeStated({ ...USUAL, speedPercent }, 1_000)
    for (let count = 0; count < 3; count += 1) {
      assert.ok(stated.isTrusted(1_000))
      stated.observeWork({ workMs, speedPercent, warmMs: 110, coldMs: 370, waitMs: 0 }, 1_000)
    }
    assert.is(stated.getSlowness(1_000), undefined, `${speedPercent}% and ${workMs} ms`)
    assert.is(stated.estimateOutstanding(1_000), undefined)
    stated.receive({ ...USUAL, speedPercent }, 6_500)
    assert.ok(stated.getSlowness(6_500) !== undefined, 'tried again')
  }
})

// A speed that changes during the work, and the 3 of 100 requests that take seven times as long, contradict honest statements.
test('single contradictions cost no trust', () => {
  const stated = makeStated()
  for (let count = 0; count < 200; count += 1) {
    const isOdd = count % 3 === 0
    stated.observeWork({ workMs: isOdd ? 110 : 275, speedPercent: 250, warmMs: 110, coldMs: 370, waitMs: 0 }, count)
    assert.ok(stated.isTrusted(count))
  }
})

test('a new incarnation starts without statements', () => {
  const first = makeTarget({ incarnation: 1 })
  first.receiveStatement(SLOW, 0)
  assert.is(first.findStated(0)?.getSlowness(0), 2.5)
  assert.is(makeTarget({ incarnation: 2 }).findStated(0)?.getSlowness(0), undefined)
})

test('a target that no longer states its speed counts as one that never did', () => {
  const target = makeTarget()
  target.receiveStatement(SLOW, 0)
  assert.ok(target.findStated(10_000) !== undefined)
  assert.is(target.findStated(10_001), undefined)
})

test.run()
