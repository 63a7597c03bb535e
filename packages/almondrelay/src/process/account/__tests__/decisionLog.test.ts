import bunyan from 'bunyan'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DecisionLog } from '../decisionLog.js'

test('a decision is one log line with its whole input', () => {
  const lines = new bunyan.RingBuffer({ limit: 5 })
  const log = new DecisionLog(bunyan.createLogger({ name: 'test', streams: [{ type: 'raw', stream: lines, level: 'info' }] }))
  log.write({ decision: 'choice', requestId: 'r1', input: { now: 5, targets: [{ name: 'a', free: 2 }] }, output: { target: 'a' } })
  const line = lines.records[0] as Record<string, unknown>
  assert.is(line.decision, 'choice')
  assert.is(line.requestId, 'r1')
  assert.equal(line.input, { now: 5, targets: [{ name: 'a', free: 2 }] })
  assert.equal(line.output, { target: 'a' })
})

test.run()
