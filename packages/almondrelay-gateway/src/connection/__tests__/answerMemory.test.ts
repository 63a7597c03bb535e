import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { AnswerMemory } from '../answerMemory.js'

const test = suite('AnswerMemory')

test('the memory counts as filling above half of the bound, until bytes are released', () => {
  const memory = new AnswerMemory(100)
  assert.ok(memory.hold(50))
  assert.not(memory.isFilling)
  assert.ok(memory.hold(10))
  assert.ok(memory.isFilling)
  memory.release(20)
  assert.not(memory.isFilling)
})

test('bytes beyond the bound are reported, and count until they are released', () => {
  const memory = new AnswerMemory(100)
  assert.not(memory.hold(120))
  assert.is(memory.heldBytes, 120)
  memory.release(120)
  assert.ok(memory.hold(100))
})

test.run()
