import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { StatementPool } from '../statementPool.js'
import type { TargetStatement } from '../targetStatement.js'

const test = suite('StatementPool')
const make = (content: Partial<TargetStatement> = {}): TargetStatement => ({ incarnationHash: 1, running: 1, waiting: 0, speedPercent: 100, statedAt: 0, ...content })
const takeSpeeds = (pool: StatementPool, now: number): number[] => pool.takeDue(64, now).map(({ statement }) => statement.speedPercent)

// Each target states its load with each answer. If each statement were told, an aggregator would pass its bytes a second with a zone of 12.
test('only significant changes are told', () => {
  const pool = new StatementPool()
  const steps: Array<[Partial<TargetStatement>, boolean]> = [[{}, false], [{ speedPercent: 250 }, true], [{ speedPercent: 240 }, false], [{ speedPercent: 100 }, true], [{ speedPercent: 110 }, false], [{ waiting: 2 }, true], [{ waiting: 3 }, false], [{ waiting: 0 }, true], [{ running: 3 }, false]]
  for (const [index, [content, isSent]] of steps.entries()) {
    pool.put(make({ ...content, statedAt: index * 10 }), true)
    assert.is(pool.takeDue(64, index * 10).length, isSent ? 1 : 0, JSON.stringify(content))
    assert.is(pool.takeDue(64, index * 10).length, 0)
  }
})

// What hosts know of a slow target fades in 0.6 s. A target that stays slow would count as usual from then on.
test('a target that stays slow is told again, one that is as usual is not', () => {
  const pool = new StatementPool()
  for (const at of [0, 300, 600]) {
    pool.put(make({ speedPercent: 250, statedAt: at }), true)
    pool.put(make({ incarnationHash: 2, statedAt: at }), true)
    assert.equal(takeSpeeds(pool, at), at === 300 ? [] : [250])
  }
})

// Guards against older statements that arrive late and against those that say nothing any more.
test('older statements are ignored, and outdated ones are not told', () => {
  const pool = new StatementPool()
  pool.put(make({ speedPercent: 250, statedAt: 100 }), true)
  pool.put(make({ speedPercent: 100, statedAt: 50 }), true)
  assert.equal(takeSpeeds(pool, 100), [250])
  pool.put(make({ speedPercent: 100, statedAt: 150 }), true)
  assert.equal(takeSpeeds(pool, 5_000), [])
})

test('what another host told is not told again', () => {
  const pool = new StatementPool()
  pool.put(make({ speedPercent: 250 }), true)
  pool.observeSent(make({ speedPercent: 250 }))
  assert.equal(takeSpeeds(pool, 0), [])
  pool.put(make({ speedPercent: 100, statedAt: 10 }), true)
  assert.equal(takeSpeeds(pool, 10), [100])
})

test('more statements than a datagram holds wait for the next one, the newest first', () => {
  const pool = new StatementPool()
  for (let hash = 0; hash < 100; hash += 1) pool.put(make({ incarnationHash: hash, speedPercent: 200 + hash, statedAt: hash }), true)
  const first = pool.takeDue(64, 100)
  assert.is(first.length, 64)
  assert.is(first[0]?.statement.incarnationHash, 99)
  assert.is(pool.takeDue(64, 100).length, 36)
})

// Guards against a host that tells nobody and keeps a statement of each incarnation of a target for as long as it runs.
test('statements that are too old for any comparison are dropped', () => {
  const pool = new StatementPool()
  for (let incarnationHash = 0; incarnationHash < 50; incarnationHash += 1) pool.observeSent(make({ incarnationHash, statedAt: incarnationHash * 1_000 }))
  pool.expire(50_000)
  assert.is(pool.size, 10)
})

test.run()
