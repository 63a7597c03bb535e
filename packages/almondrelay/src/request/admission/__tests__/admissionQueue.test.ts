import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSeededRandom } from '../../createSeededRandom.js'
import { RefusalReason } from '../../refusalReason.js'
import { AdmissionQueue } from '../admissionQueue.js'
import type { QueuedRequest } from '../queuedRequest.js'

const makeRequest = (id: string, parts: Partial<QueuedRequest> = {}): QueuedRequest =>
  ({ id, caller: 'c', key: '', route: 'GET /x', deadlineAt: 1_000, arrivedAt: 0, ...parts })

test('every request gets exactly one decision while capacity changes', () => {
  // A request that was displaced from the queue but not refused would leave its caller's connection
  // open forever. Each offered request must be started, refused or cancelled exactly once.
  for (let seed = 1; seed <= 40; seed += 1) {
    const random = createSeededRandom(seed)
    const queue = new AdmissionQueue({ maxQueued: 20, maxWaitMs: 200 }, random)
    const open = new Set<string>()
    const running: QueuedRequest[] = []
    const finishOnce = (id: string): void => assert.ok(open.delete(id), `${id} decided twice`)
    let now = 0
    for (let step = 0; step < 3_000; step += 1) {
      now += random() * 4
      const capacity = Math.floor(random() * 2) * 8
      const request = makeRequest(`r${step}`, { caller: `c${Math.floor(random() * random() * 12)}`, key: `k${Math.floor(random() * 3)}`, route: random() < 0.1 ? 'GET /long' : 'GET /x', deadlineAt: now + 50 + random() * 2_000, arrivedAt: now })
      open.add(request.id)
      const decision = queue.offer(request, Math.max(0, capacity - running.length), capacity, now)
      if (decision.kind !== 'wait') finishOnce(request.id)
      else decision.displaced.forEach((displaced) => finishOnce(displaced.request.id))
      if (decision.kind === 'start') running.push(request)
      if (random() < 0.05 && queue.cancel(request.id, now)) finishOnce(request.id)
      if (random() < 0.3 && running.length > 0) {
        const ended = running.shift() as QueuedRequest
        queue.finish(ended, ended.route === 'GET /long' ? 400 : 10, now)
      }
      const batch = queue.take(Math.max(0, capacity - running.length), capacity, now)
      batch.refuse.forEach((refused) => finishOnce(refused.request.id))
      batch.start.forEach((started) => finishOnce(started.id))
      running.push(...batch.start)
      assert.is(queue.waiting, open.size)
      assert.is(queue.running, running.length)
      assert.ok(queue.waiting <= 20)
    }
    queue.take(0, 8, now + 10_000).refuse.forEach((refused) => finishOnce(refused.request.id))
    assert.is(open.size, 0)
    assert.is(queue.describe().knownCallers, 0)
  }
})

test('a refusal states its reason, and refused callers get different retry delays', () => {
  const queue = new AdmissionQueue({}, createSeededRandom(1))
  const offer = (id: string, parts: Partial<QueuedRequest>, capacity: number): string => {
    const decision = queue.offer(makeRequest(id, parts), 0, capacity, 10)
    return decision.kind === 'refuse' ? decision.reason : decision.kind
  }
  assert.is(offer('a', { deadlineAt: 10 }, 8), RefusalReason.deadlinePassed)
  assert.is(offer('b', {}, 0), RefusalReason.noTarget)
  assert.is(offer('c', { deadlineAt: 20 }, 8), RefusalReason.deadlineUnreachable)
  assert.is(offer('d', {}, 8), 'wait')
  const times = new Set<number>()
  for (let index = 0; index < 2_000; index += 1) {
    const decision = queue.offer(makeRequest(`e${index}`), 0, 8, 10)
    if (decision.kind === 'refuse') times.add(decision.retryAfterMs)
  }
  assert.ok(times.size > 500, `${times.size} different times`)
})

test.run()
