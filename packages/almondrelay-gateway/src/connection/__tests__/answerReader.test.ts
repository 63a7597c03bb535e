import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PlainTargetCodec } from '../__fixtures__/plainTargetCodec.js'
import { MessageMemory } from '../messageMemory.js'
import { AnswerReader } from '../answerReader.js'
import { UnsoundAnswer } from '../unsoundAnswer.js'

const test = suite('AnswerReader')

/** Reads the bytes of answers in pieces of a size; returns the bodies that were passed on, and why the reader refused the rest. */
const read = (text: string, pieceBytes = Infinity, memory = new MessageMemory(Infinity)): { bodies: string[], reason: string | undefined } => {
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
  const reader = new AnswerReader(new PlainTargetCodec(), new MessageMemory(Infinity), (answer) => { ({ rawHeaders } = answer.head) })
  reader.acceptBytes(Buffer.from(`HTTP/1.1 200 OK\r\nContent-Disposition: ${name}\r\nContent-Length: 0\r\n\r\n`, 'latin1'))
  assert.is(rawHeaders[1], name)
})

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

// Guards against a part of an answer that is passed on as a whole one, because one byte of the size of a chunk is wrong.
for (const size of ['~', '', '5~', 'g', '-5', '+5', ' 5', '5 5', '0x5', '5\r', '11111111111111111', '5\u0000']) {
  test(`a chunk size of ${JSON.stringify(size)} is no size`, () => {
    assert.equal(read(`${CHUNKED}5\r\nfirst\r\n${size}\r\n other\r\n0\r\n\r\n`), { bodies: [], reason: 'chunk' })
    assert.equal(read(`${CHUNKED}5\r\nfirst\r\n${size}\r\n other\r\n0\r\n\r\n`, 1), { bodies: [], reason: 'chunk' })
  })
}

test('a chunk that is longer than its size is unsound', () => {
  assert.is(read(`${CHUNKED}4\r\nfirst\r\n0\r\n\r\n`).reason, 'chunk')
  assert.is(read(`${CHUNKED}4\r\nfirst!`, 1).reason, 'chunk')
})

test('chunks with extensions, leading zeros and trailers are passed on', () => {
  assert.equal(read(`${CHUNKED}005;name="a b"\r\nfirst\r\n6 \r\n other\r\n0\r\nX-Sum: 7\r\n\r\n`), { bodies: ['first other'], reason: undefined })
  assert.equal(read(`${CHUNKED}A\r\n0123456789\r\n00\r\n\r\n`, 1), { bodies: ['0123456789'], reason: undefined })
})

// Guards against tiny chunks without end that take all processor time of the host.
test('an answer has a bounded number of chunks', () => {
  assert.is(read(`${CHUNKED}${'1\r\nx\r\n'.repeat(65_535)}0\r\n\r\n`, 65_536).bodies[0]?.length, 65_535)
  assert.is(read(`${CHUNKED}${'1\r\nx\r\n'.repeat(65_537)}`, 65_536).reason, 'too-long')
})

test('a body has a length or chunks, and no other encoding', () => {
  assert.is(read('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nfirst\r\n0\r\n\r\n').reason, 'encoding')
  assert.is(read('HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n').reason, 'encoding')
  assert.is(read('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkee\r\n\r\n5\r\nfirst\r\n0\r\n\r\n').reason, 'encoding')
})

// Guards against a length that is left out with its line, so that the body seems to end with the connection.
test('a line of the head that is no header is unsound', () => {
  for (const line of ['Content-Length~ 5', 'Content-Length : 5', ': 5', ' folded']) assert.is(read(`HTTP/1.1 200 OK\r\n${line}\r\n\r\nfirst`).reason, 'header')
  assert.equal(read('HTTP/1.1 200 OK\r\nX-Note: a\r\n\tb\r\nContent-Length: 5\r\n\r\nfirst').bodies, ['first'])
})

// Guards against two answers that count as one, with the status of a head that was cut and the headers of the next.
test('a line that holds a status line is unsound, and one that names a protocol is not', () => {
  for (const text of ['HTTP/1.1 200 OHTTP/1.1 500 Error\r\n', 'HTTP/1.1 200 OK\r\nServer: aHTTP/1.1 500\r\n', 'HTTP/1.1 103 EHTTP/1.1 500 Error\r\n', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: HTTP/1.1 500 Error\r\n']) {
    for (const pieceBytes of [Infinity, 1]) assert.equal(read(`${text}Content-Length: 0\r\n\r\n`, pieceBytes), { bodies: [], reason: 'continued' })
  }
  assert.equal(read('HTTP/1.1 200 HTTP/1.1 OK\r\nVia: HTTP/1.1 host, HTTP/1.1 200.example\r\nUpgrade: HTTP/2.0\r\nContent-Length: 5\r\n\r\nfirst').bodies, ['first'])
})

test('statuses outside 100 to 599, and first lines that are none, are unsound', () => {
  for (const line of ['HTTP/1.1 099 OK', 'HTTP/1.1 600 OK', 'HTTP/1.1 20 OK', 'HTTP/2.0 200 OK', 'HTTP/1.1 200OK', 'http/1.1 200 OK']) assert.is(read(`${line}\r\nContent-Length: 0\r\n\r\n`).reason, 'syntax')
  assert.equal(read('HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nfirst').bodies, ['first'])
  assert.equal(read('HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nfirst').bodies, ['first'])
})

test('answers without a body end with their head, whatever length they state', () => {
  assert.equal(read('HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst').bodies, ['', '', 'first'])
})

test('interim answers are passed over, but not without end, and none may change the protocol', () => {
  const interim = 'HTTP/1.1 100 Continue\r\n\r\n'
  assert.equal(read(`${interim}${interim}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst`).bodies, ['first'])
  assert.is(read(interim.repeat(20)).reason, 'interim')
  assert.is(read('HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n').reason, 'interim')
})

// Guards against bytes without end that fill the memory, or keep the process busy.
test('a head, a size, trailers, a body or empty lines without end are given up', () => {
  const endless: Array<[string, string]> = [
    ['HTTP/1.1 200 OK', 'x'.repeat(1_000)],
    ['HTTP/1.1 200 OK\r\n', 'X-Note: x\r\n'.repeat(100)],
    ['HTTP/1.1 200 OK\r\nX-Note: ', 'x'.repeat(1_000)],
    [`${CHUNKED}5;`, 'x'.repeat(1_000)],
    [`${CHUNKED}5\r\nfirst\r\n0\r\n`, 'X-Note: x\r\n'.repeat(100)],
    [`${CHUNKED}5\r\nfirst\r\n0\r\nX-Note: `, 'x'.repeat(1_000)],
    [CHUNKED, '1\r\nx\r\n'.repeat(6_000)],
    ['HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(10_000)],
    ['', '\r\n'.repeat(100)],
    ['', '\n'.repeat(100)]
  ]
  for (const [begin, more] of endless) {
    const memory = new MessageMemory(1_000_000)
    const { bodies, reason } = read(begin + more.repeat(200), 65_536, memory)
    assert.equal(bodies, [])
    assert.ok(reason !== undefined, begin)
  }
})

test.run()
