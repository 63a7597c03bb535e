import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { TurnQueue } from '../turnQueue.js'

const test = suite('TurnQueue')
const waitTurn = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

/** A queue on a clock that only its requests move, a millisecond each. */
class CountedQueue {
  now = 0
  readonly done: number[] = []
  readonly queue = new TurnQueue(() => this.now)

  constructor (private readonly pushed: number) {
    for (let index = 0; index < pushed; index += 1) {
      this.queue.push((queuedAt) => {
        this.now += 1
        this.done.push(queuedAt)
      }, false)
    }
  }

  /** Requests carried out in each turn of the event loop until none waits; `beginTurn` is called before each. */
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

// All hosts have been restarted, and every caller connects again while those that are connected send. The runtime accepts
// one connection a turn of its loop; with all requests in one turn callers waited two seconds for their connections
// to be accepted, and left.
test('requests that are ready at once are spread over turns of the event loop', async () => {
  const counted = new CountedQueue(20)
  const turns = await counted.countByTurn()
  assert.is(turns.reduce((sum, count) => sum + count, 0), 20)
  assert.ok(turns.every((count) => count <= 4), turns.join())
})

test('while connections come in, each turn carries out one request', async () => {
  const counted = new CountedQueue(6)
  assert.equal(await counted.countByTurn(() => { counted.queue.observeAccept() }), [1, 1, 1, 1, 1, 1])
})

// More callers connect than are accepted, one a turn, and wait unseen. The only sign of them is that no turn passes
// without a connection.
test('connections in every turn show that more of them wait; one turn without ends it', async () => {
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

// All hosts were restarted, and callers connect for two seconds at just the rate at which they are accepted. Each waits
// for a moment; the host that counts how long this goes on takes itself for two seconds late and refuses almost everybody.
test('connections in every turn for long wait no longer than the queue of the port takes', async () => {
  const counted = new CountedQueue(0)
  for (let turn = 0; turn < 1_000; turn += 1) {
    counted.queue.observeAccept()
    counted.now += 2
    await waitTurn()
  }
  assert.is(counted.queue.computeAcceptDelay(counted.now), 256)
})

// A caller waited long for its connection to be accepted, sent its request meanwhile, and left. Both are there to be read,
// the leaving a turn after the request.
test('the first request of a connection waits one turn more', async () => {
  const counted = new CountedQueue(0)
  counted.queue.push(() => { counted.done.push(1) }, true)
  await waitTurn()
  assert.equal(counted.done, [])
  await waitTurn()
  assert.equal(counted.done, [1])
})

test('a lone request waits for no further turn, and the longest wait is told', async () => {
  const counted = new CountedQueue(1)
  counted.now = 30
  assert.is(counted.queue.computeDelay(counted.now), 30)
  await waitTurn()
  assert.equal(counted.done, [0])
  assert.is(counted.queue.computeDelay(counted.now), 0)
})

test.run()
