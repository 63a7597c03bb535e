import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PlainTargetCodec } from '../__fixtures__/plainTargetCodec.js'
import { AnswerMemory } from '../answerMemory.js'
import { AnswerReader } from '../answerReader.js'
import { UnsoundAnswer } from '../unsoundAnswer.js'

const test = suite('AnswerReader')

/** Reads the bytes of answers in pieces of a size; returns the bodies that were passed on, and why the reader refused the rest. */
const read = (text: string, pieceBytes = Infinity, memory = new AnswerMemory(Infinity)): { bodies: string[], reason: string | undefined } => {
  const bodies: string[] = []
  const reader = new AnswerReader(new PlainTargetCodec(), memory, ({ body }) => { bodies.push(body.toString()) })
  const bytes = Buffer.from(text, 'latin1')
  let reason: string | undefined
  try {
    for (let offset = 0; offset < bytes.length; offset += pieceBytes) reader.acceptBytes(bytes.subarray(offset, offset + pieceBytes))
  } catch (error) {
    if (!(error instanceof UnsoundAnswer)) throw error
    reason = error.reason
  }
  reader.drop()
  assert.is(memory.heldBytes, 0)
  return { bodies, reason }
}

// Guards against a count of held bytes, shared by all connections, that is no number any more: no answer in pieces was passed on.
for (const length of ['4~', '-5', '+5', '0x5', '1e0', '5.0', '5 5', '5,5', '', '99999999999999999999']) {
  for (const pieceBytes of [Infinity, 1]) {
    test(`a Content-Length of "${length}", in pieces of ${pieceBytes}, is no length`, () => {
      assert.equal(read(`HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\nfirst and more`, pieceBytes), { bodies: [], reason: 'length' })
    })
  }
}

test('several lengths are sound only if they are the same', () => {
  assert.equal(read('HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nfirst').bodies, ['first'])
  assert.is(read('HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nfirst').reason, 'syntax')
  assert.is(read('HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 05\r\n\r\nfirst').reason, 'length')
})

test('an answer that states more bytes than there is room for is refused before its body', () => {
  assert.is(read('HTTP/1.1 200 OK\r\nContent-Length: 16777217\r\n\r\n').reason, 'too-long')
})

// Guards against a header that can't be sent on: it cost the caller's connection with all requests on it.
test('a header with a control character is unsound, and one in UTF-8 passes unchanged', () => {
  assert.is(read('HTTP/1.1 200 OK\r\nX-Note: a\u0001b\r\nContent-Length: 5\r\n\r\nfirst').reason, 'header')
  const name = Buffer.from('filename="M\u0101ori.pdf"').toString('latin1')
  let rawHeaders: readonly string[] = []
  const reader = new AnswerReader(new PlainTargetCodec(), new AnswerMemory(Infinity), (answer) => { ({ rawHeaders } = answer.head) })
  reader.acceptBytes(Buffer.from(`HTTP/1.1 200 OK\r\nContent-Disposition: ${name}\r\nContent-Length: 0\r\n\r\n`, 'latin1'))
  assert.is(rawHeaders[1], name)
})

test.run()
