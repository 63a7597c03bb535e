import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AnswerIdentity } from '../answerIdentity.js'
import { identifyAnswer } from '../identifyAnswer.js'

const identify = (echoedIds: string[], isFirstOnConnection: boolean, texts: string[] = ['OK', 'text/plain']): AnswerIdentity =>
  identifyAnswer({ sendId: 'a-2', echoedIds, isFirstOnConnection, texts })

// An answer that names another request, or several, belongs to no certain one, also where only one was sent.
test('an answer that echoes other ids is not the request\'s on any connection', () => {
  for (const isFirst of [true, false]) {
    assert.is(identify(['a-1'], isFirst), AnswerIdentity.otherId)
    assert.is(identify(['a-2', 'a-1'], isFirst), AnswerIdentity.severalIds)
    assert.is(identify(['a-2', 'a-2'], isFirst), AnswerIdentity.severalIds)
    assert.is(identify(['a-2, a-1'], isFirst), AnswerIdentity.otherId)
    assert.is(identify(['A-2'], isFirst), AnswerIdentity.otherId)
    assert.is(identify([''], isFirst), AnswerIdentity.otherId)
    assert.is(identify(['a-2'], isFirst), AnswerIdentity.echoed)
  }
})

// Without an id the order on the connection is the only tie, and a second answer breaks it.
test('an answer without an id counts only as the first of its connection', () => {
  assert.is(identify([], true), AnswerIdentity.onlyRequest)
  assert.is(identify([], false), AnswerIdentity.noId)
})

// A second answer that is cut within its head takes in the status line of the next one, and with it that one's id: the
// caller would get the status of the one and the body of the other.
test('an answer whose head holds a status line is not passed on after another request, nor is its connection kept', () => {
  for (const texts of [['StHTTP/1.1 200 OK', 'text/plain'], ['OK', 'teHTTP/1.1 200 OK'], ['OK', 'HTTP/1.1 404 ']]) {
    assert.is(identify(['a-2'], false, texts), AnswerIdentity.mixedHead)
    assert.is(identify(['a-2'], true, texts), AnswerIdentity.onlyRequest)
  }
  assert.is(identify(['a-2'], false, ['OK', 'HTTP/1.1 proxy']), AnswerIdentity.echoed)
})

test.run()
