import { Agent } from 'node:http'
import { spoiltHeads, SpoiltServer } from 'almondrelay/testing'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { startUnreadingServer } from '../../../connection/__fixtures__/unreadingServer.js'
import { MessageMemory } from '../../../connection/messageMemory.js'
import { PeerCallFailure } from '../peerCallFailure.js'
import { sendPeerCall } from '../sendPeerCall.js'

const test = suite('sendPeerCall')
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n'

// Guards against attempts that another host sends to a target after they were given up: a cut link between the hosts held the call back.
test('a call that is given up does not arrive later', async () => {
  const owner = new AbortController()
  const host = await startUnreadingServer(owner.signal, CONTINUE)
  const giveUp = new AbortController()
  const body = Buffer.alloc(1_000_000)
  const agent = new Agent({ keepAlive: true })
  const reply = sendPeerCall(agent, { ip: '127.0.0.1', port: host.port, path: '/', body, acknowledgeTimeoutMs: 10_000, handleAcknowledgement: () => undefined, memory: new MessageMemory(Infinity) }, giveUp.signal)
  await host.waitUntilHeld()
  giveUp.abort()
  const result = await reply
  assert.is(result.kind === 'failed' && result.failure, PeerCallFailure.answerLost)
  const received = await host.readToEnd()
  assert.ok(received < body.length, `${received} bytes arrived`)
  agent.destroy()
  owner.abort()
})

// Guards against an attempt that is sent once more, though it may run, because of an answer that the other host never gave.
for (const [name, answer] of Object.entries(spoiltHeads).filter(([each]) => /^status \d{3}$/.test(each))) {
  test(`a call that was answered with a damaged status may have been carried out: ${name}`, async () => {
    const host = await SpoiltServer.start(CONTINUE + answer)
    const agent = new Agent({ keepAlive: true })
    const result = await sendPeerCall(agent, { ip: '127.0.0.1', port: host.port, path: '/', body: Buffer.from('call'), acknowledgeTimeoutMs: 10_000, handleAcknowledgement: () => undefined, memory: new MessageMemory(Infinity) }, new AbortController().signal)
    assert.is(result.kind === 'failed' && result.failure, PeerCallFailure.answerLost)
    agent.destroy()
    host.close()
  })
}

test.run()
