import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { TurnQueue } from '../turnQueue.js'

const test = suite('TurnQueue')
const waitTurn = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

/** Queue whose clock is advanced only by its requests, a millisecond each. */
class CountedQueue {
  now = 0
  readonly done: number[] = []
  readonly queue = new TurnQueue(() => this.now)

  constructor (private readonly pushed: number) {
    for (let index = 0; index < pushed; index += 1) {
      this.queue.push((queuedAt) => {
        this.now += 1
        this.done.push(queuedAt)
      }, {}, false)
    }
  }

  /** Counts the requests that run in each turn of the event loop until none waits; `beginTurn` is called before each turn. */
  async countByTurn (beginTurn: () => void = () => undefined): Promise<number[]> {
    const turns: number[] = []
    while (this.done.length < this.pushed) {
      const before = this.done.length
      beginTurn()
      await waitTurn()
      if (this.done.length > before) turns.push(this.done.length - before)
    }
    return turns
  }
}

// All hosts have restarted, and every caller connects again while those already connected send requests. Node accepts one
// connection per turn of the event loop; with all requests in one turn, callers waited two seconds for their connections to be
// accepted, and gave up.
test('requests that are ready at once are spread over turns of the event loop', async () => {
  const counted = new CountedQueue(20)
  const turns = await counted.countByTurn()
  assert.is(turns.reduce((sum, count) => sum + count, 0), 20)
  assert.ok(turns.every((count) => count <= 4), turns.join())
})

test('while connections arrive, each turn runs one request', async () => {
  const counted = new CountedQueue(6)
  assert.equal(await counted.countByTurn(() => { counted.queue.observeAccept() }), [1, 1, 1, 1, 1, 1])
})

// More callers connect than are accepted, which is one per turn. The others wait in the backlog, where the process can't see
// them: the only sign is that every turn accepts a connection.
test('a connection accepted in every turn counts as a delay, until a turn accepts none', async () => {
  const counted = new CountedQueue(0)
  for (let turn = 0; turn < 5; turn += 1) {
    counted.queue.observeAccept()
    counted.now += 40
    await waitTurn()
  }
  assert.is(counted.queue.computeAcceptDelay(counted.now), 200)
  await waitTurn()
  await waitTurn()
  assert.is(counted.queue.computeAcceptDelay(counted.now), 0)
})

// All hosts have restarted, and callers connect for two seconds at exactly the rate at which they are accepted, so that each one
// waits only briefly. A host that took the length of this period for the delay would refuse almost all requests.
test('the delay is bounded by the time that a full backlog takes, however long connections arrive in every turn', async () => {
  const counted = new CountedQueue(0)
  for (let turn = 0; turn < 1_000; turn += 1) {
    counted.queue.observeAccept()
    counted.now += 2
    await waitTurn()
  }
  assert.is(counted.queue.computeAcceptDelay(counted.now), 256)
})

// A caller waited long for its connection to be accepted, sent its request in the meantime, and disconnected. Both are ready to
// be read, the disconnection one turn after the request.
test('the first request of a connection waits one additional turn', async () => {
  const counted = new CountedQueue(0)
  counted.queue.push(() => { counted.done.push(1) }, {}, true)
  await waitTurn()
  assert.equal(counted.done, [])
  await waitTurn()
  assert.equal(counted.done, [1])
})

test('a single request runs in the next turn, and its wait is reported until then', async () => {
  const counted = new CountedQueue(1)
  counted.now = 30
  assert.is(counted.queue.computeDelay(counted.now), 30)
  await waitTurn()
  assert.equal(counted.done, [0])
  assert.is(counted.queue.computeDelay(counted.now), 0)
})

// Guards against a caller whose request waits for all that another one has sent ahead.
test('a caller that sends many requests ahead delays its own, and those of a closed connection are dropped', async () => {
  const counted = new CountedQueue(0)
  const [crowd, ordinary] = [{}, {}]
  const done: string[] = []
  for (let index = 0; index < 50; index += 1) counted.queue.push(() => { done.push('crowd') }, crowd, false)
  counted.queue.push(() => { done.push('ordinary') }, ordinary, false)
  while (!done.includes('ordinary')) await waitTurn()
  assert.ok(done.indexOf('ordinary') <= 2, `it ran after ${done.indexOf('ordinary')} requests of the other caller`)
  counted.queue.drop(crowd)
  for (let turn = 0; turn < 100; turn += 1) await waitTurn()
  assert.ok(done.length < 10, `${done.length} requests ran`)
})

test.run()
