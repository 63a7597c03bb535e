import type { Socket } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SystemClock } from '../../../process/platform/systemClock.js'
import type { TargetReply } from '../../../request/targetReply.js'
import type { TargetRequest } from '../../../request/targetRequest.js'
import { formatAnswer } from '../__fixtures__/formatAnswer.js'
import type { ScriptedRequest } from '../__fixtures__/scriptedRequest.js'
import { ScriptedTarget } from '../__fixtures__/scriptedTarget.js'
import { TargetConnections } from '../targetConnections.js'

type Send = (path: string, parts?: Partial<TargetRequest>) => Promise<TargetReply>

interface Trial {
  target: ScriptedTarget
  send: Send
}

/** The client has read the first answer to its end before the second one arrives. */
const SECOND_ANSWER_LEAD_MS = 30
/** Ends a request whose answer never becomes complete. */
const DEADLINE_MS = 1_000

async function withTarget (script: (request: ScriptedRequest, socket: Socket) => Promise<void> | void, run: (trial: Trial) => Promise<void>): Promise<void> {
  const target = await ScriptedTarget.start(script)
  const connections = new TargetConnections(new SystemClock())
  const send: Send = async (path, parts = {}) => await connections.send(target.getAddress(), {
    method: 'POST', path, headers: [], body: new Uint8Array(0), idempotent: false, maxAnswerBytes: 100_000, ...parts
  }, AbortSignal.timeout(DEADLINE_MS))
  try {
    await run({ target, send })
  } finally {
    await connections.close()
    target.close()
  }
}

const describe = (reply: TargetReply): string => reply.kind === 'answered' ? `${reply.status} ${Buffer.from(reply.body).toString()}` : reply.kind

// A second answer reaches an idle connection. It belongs to no request, so the connection has to be closed, and the next
// request goes by a new one and is answered.
test('a second answer on an idle connection closes it, and the next request is answered', async () => {
  await withTarget((request, socket) => {
    socket.write(formatAnswer(request))
    if (request.path === '/1') setTimeout(() => socket.write(formatAnswer(request, { status: 500 })), SECOND_ANSWER_LEAD_MS)
  }, async ({ target, send }) => {
    assert.is(describe(await send('/1')), '200 answer to /1')
    await target.waitUntilUnconnected()
    assert.is(describe(await send('/2')), '200 answer to /2')
    assert.is(target.connections, 2)
  })
})

test.run()
