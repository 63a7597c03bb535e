import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import Logger, { RingBuffer } from 'bunyan'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AnswerIdentity } from '../../../request/answerIdentity.js'
import type { HostSettings } from '../../settings/hostSettings.js'
import { LoggedTargetObserver } from '../loggedTargetObserver.js'
import { Metrics } from '../metrics.js'

// Operators find a target that answers twice by this line and this metric, which docs/operators/refusals.md names.
test('an answer that is not passed on leaves a log line and counts in a metric', async () => {
  const receiver = createSocket('udp4')
  receiver.bind(0, '127.0.0.1')
  await once(receiver, 'listening')
  const settings = { host: { name: 'akl-a-1', availabilityZone: 'akl-a' }, metrics: { statsd: `127.0.0.1:${receiver.address().port}`, prefix: 'almondrelay.' } } as unknown as HostSettings
  const metrics = new Metrics(settings, (error) => { throw error })
  const lines = new RingBuffer({ limit: 10 })
  const observer = new LoggedTargetObserver(new Logger({ name: 'test', streams: [{ type: 'raw', stream: lines, level: 'warn' }] }), metrics)
  const received = once(receiver, 'message')
  observer.observeUnprovedAnswer({ address: '127.0.0.1:1', identity: AnswerIdentity.otherId, status: 500, sendId: 'a-2', echoedIds: ['a-1'] })
  const line = lines.records[0] as { msg: string, address: string, identity: string, echoedIds: string[] }
  assert.equal([line.msg, line.address, line.identity, line.echoedIds], ['answer of a target not passed on: it may belong to another request', '127.0.0.1:1', 'other-id', ['a-1']])
  const [message] = await received as [Buffer]
  assert.match(message.toString(), /^almondrelay\.target\.answers\.unproved:1\|c/)
  assert.match(message.toString(), /identity:other-id/)
  await metrics.close()
  receiver.close()
})

test.run()
