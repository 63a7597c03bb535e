import type { Socket } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SystemClock } from '../../../process/platform/systemClock.js'
import { HeaderName } from '../../../request/contract/headerName.js'
import type { TargetReply } from '../../../request/targetReply.js'
import { spoiltHeads } from '../../__fixtures__/spoiltHeads.js'
import { formatAnswer } from '../__fixtures__/formatAnswer.js'
import { RecordingTargetObserver } from '../__fixtures__/recordingTargetObserver.js'
import type { ScriptedRequest } from '../__fixtures__/scriptedRequest.js'
import { ScriptedTarget } from '../__fixtures__/scriptedTarget.js'
import { TargetConnections } from '../targetConnections.js'

const DEADLINE_MS = 1_000

type Write = (socket: Socket, bytes: Buffer) => Promise<void>

const WRITES: Record<string, Write> = {
  whole: async (socket, bytes) => { socket.write(bytes) },
  'in pieces': async (socket, bytes) => {
    for (let offset = 0; offset < bytes.length; offset += 7) {
      socket.write(bytes.subarray(offset, offset + 7))
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }
}
/** Sends as many requests in turn; the target answers the last one with the given bytes. */
const sendUntilSpoilt = async (answer: string, count: number, write: Write): Promise<TargetReply[]> => {
  const target = await ScriptedTarget.start(async (request: ScriptedRequest, socket) => {
    const sendId = `${HeaderName.sendId}: ${request.headers.get(HeaderName.sendId)?.[0] ?? ''}\r\n`
    if (Number(request.path.slice(1)) < count) socket.write(formatAnswer(request))
    else await write(socket, Buffer.from(answer.replace('Content', `${sendId}Content`), 'latin1'))
    if (Number(request.path.slice(1)) >= count) socket.end()
  })
  const connections = new TargetConnections(new SystemClock(), new RecordingTargetObserver())
  const replies: TargetReply[] = []
  for (let number = 1; number <= count; number += 1) {
    replies.push(await connections.send(target.getAddress(), { method: 'GET', path: `/${number}`, headers: [], body: new Uint8Array(0), idempotent: true, maxAnswerBytes: 100_000 }, AbortSignal.timeout(DEADLINE_MS)))
  }
  await connections.close()
  target.close()
  return replies
}

for (const [name, answer] of Object.entries(spoiltHeads)) {
  for (const [way, write] of Object.entries(WRITES)) {
    for (const count of [1, 2]) {
      // Guards against an answer that its target never gave, and that may not be possible to pass on.
      test(`an answer with a spoilt head is lost: ${name}, ${way}, request ${count} of its connection`, async () => {
        const replies = await sendUntilSpoilt(answer, count, write)
        assert.is(replies.at(-1)?.kind, 'lost', JSON.stringify(replies.at(-1)))
      })
    }
  }
}

test('answers with any status that HTTP knows are passed on', async () => {
  for (const status of ['200 OK', '299', '404 Not \xe9 Found', '599 \tOdd']) {
    const [reply] = await sendUntilSpoilt(`HTTP/1.1 ${status}\r\nContent-Length: 5\r\n\r\nsound`, 1, WRITES['in pieces'] as Write)
    assert.is(reply?.kind, 'answered', status)
  }
})

test('an answer behind an interim one is passed on, and its head is checked', async () => {
  const interim = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
  const [sound] = await sendUntilSpoilt(`${interim}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound`, 1, WRITES['in pieces'] as Write)
  assert.is(sound?.kind, 'answered')
  const [spoilt] = await sendUntilSpoilt(`${interim}HTTP/1.1 200 O\0K\r\nContent-Length: 6\r\n\r\nspoilt`, 1, WRITES['in pieces'] as Write)
  assert.is(spoilt?.kind, 'lost')
})

test.run()
