import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { generateAnswer } from '../__fixtures__/generateAnswer.js'
import { transformBytes } from '../__fixtures__/transformBytes.js'
import { PlainTargetCodec } from '../__fixtures__/plainTargetCodec.js'
import { readAnswersPlainly } from '../__fixtures__/readAnswersPlainly.js'
import { createRandom } from '../__fixtures__/createRandom.js'
import { MessageMemory } from '../messageMemory.js'
import { AnswerReader } from '../answerReader.js'
import { UnsoundAnswer } from '../unsoundAnswer.js'

const test = suite('AnswerReader on random bytes')

/** Seeds of the run in CI; FUZZ_SEEDS names others: a first and a count. */
const [FIRST_SEED = 1, SEEDS = 6_000] = (process.env.FUZZ_SEEDS ?? '').split(' ').filter((text) => text !== '').map(Number)
const memory = new MessageMemory(100_000_000)

interface Reading {
  bodies: string[]
  isUnsound: boolean
}

/** Reads a text in pieces of random sizes, and then the end of the connection. */
const readInPieces = (text: string, random: () => number): Reading => {
  const bodies: string[] = []
  const reader = new AnswerReader(new PlainTargetCodec(), memory, ({ body }) => { bodies.push(body.toString('latin1')) })
  const bytes = Buffer.from(text, 'latin1')
  let isUnsound = false
  try {
    for (let at = 0; at < bytes.length;) {
      const size = random() < 0.3 ? 1 : 1 + Math.floor(random() * 4_000)
      reader.acceptBytes(bytes.subarray(at, at + size))
      at += size
    }
    reader.finishStream()
  } catch (error) {
    if (!(error instanceof UnsoundAnswer)) throw error
    isUnsound = true
  }
  reader.drop()
  assert.is(memory.heldBytes, 0)
  return { bodies, isUnsound }
}

test('every lawful answer is passed on as it is, in pieces of any size', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    const random = createRandom(seed)
    const answers = Array.from({ length: 1 + Math.floor(random() * 3) }, () => generateAnswer(random))
    assert.equal(readInPieces(answers.map(({ text }) => text).join(''), random), { bodies: answers.map(({ body }) => body), isUnsound: false }, `seed ${seed}`)
  }
})

// Guards against a part of an answer, or bytes of another one, that is passed on as a whole one, and against errors and sums that end the process.
test('of answers with wrong bytes only whole ones are passed on', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    const random = createRandom(seed)
    const answers = Array.from({ length: 1 + Math.floor(random() * 3) }, () => generateAnswer(random))
    const text = transformBytes(answers.map((answer) => answer.text).join(''), random)
    const reading = readInPieces(text, random)
    const plain = readAnswersPlainly(text)
    assert.equal(reading.bodies, plain.bodies, `seed ${seed}`)
    // The reader may meet the end of the connection before the end of the line that shows the fault.
    assert.ok(plain.isUnsound || !reading.isUnsound, `seed ${seed}: lawful bytes refused`)
  }
})

test.run()
