import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { MessageMemory } from '../messageMemory.js'
import { HeldBytes } from '../heldBytes.js'

const test = suite('MessageMemory')

test('the memory counts as filling above half of the bound, until bytes are released', () => {
  const memory = new MessageMemory(100)
  assert.ok(memory.hold(50))
  assert.not(memory.isFilling)
  assert.ok(memory.hold(10))
  assert.ok(memory.isFilling)
  memory.release(20)
  assert.not(memory.isFilling)
})

test('bytes beyond the bound are reported, and count until they are released', () => {
  const memory = new MessageMemory(100)
  assert.not(memory.hold(120))
  assert.is(memory.heldBytes, 120)
  memory.release(120)
  assert.ok(memory.hold(100))
})

// Guards against one wrong count that makes the sum for all answers of the process no number for good.
test('a count that is no whole number is refused and leaves the sum as it was', () => {
  const memory = new MessageMemory(100)
  memory.hold(40)
  for (const bytes of [NaN, -1, 0.5, Infinity]) assert.throws(() => memory.hold(bytes), RangeError as never)
  assert.is(memory.heldBytes, 40)
})

test('bytes of an owner are released once', () => {
  const memory = new MessageMemory(100)
  const held = new HeldBytes(memory)
  held.hold(30)
  held.release()
  held.release()
  assert.is(memory.heldBytes, 0)
})

// Guards against a few targets with answers without end that make a host refuse the requests of all services.
test('while the memory is filling, the largest answer of the target that holds most is given up', () => {
  const memory = new MessageMemory(1_200)
  const aborted: string[] = []
  const receive = (target: string, name: string): HeldBytes => new HeldBytes(memory, { sender: target, abort: () => { aborted.push(name) } })
  const [first, second, sound] = [receive('a', 'first'), receive('a', 'second'), receive('b', 'sound')]
  assert.ok(sound.hold(90))
  assert.ok(first.hold(200))
  assert.ok(second.hold(300))
  assert.equal(aborted, [])
  assert.ok(first.hold(20))
  assert.equal(aborted, ['second'])
  assert.not(memory.isFilling)
  assert.is(memory.heldBytes, 310)
  assert.not(first.hold(400))
  assert.equal(aborted, ['second', 'first'])
  assert.is(memory.heldBytes, 90)
})

test('answers of targets within their share are kept, and answers that wait for their callers', () => {
  const memory = new MessageMemory(1_200)
  const aborted: string[] = []
  new HeldBytes(memory).hold(500)
  for (const target of ['a', 'b', 'c']) new HeldBytes(memory, { sender: target, abort: () => { aborted.push(target) } }).hold(90)
  assert.ok(memory.isFilling)
  assert.equal(aborted, [])
})

test.run()
