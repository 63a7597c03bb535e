import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { spoiltHeads } from '../../connection/__fixtures__/spoiltHeads.js'
import { SpoiltServer } from '../../connection/__fixtures__/spoiltServer.js'
import { SystemClock } from '../../process/platform/systemClock.js'
import { HeaderName } from '../../request/contract/headerName.js'
import { Outcome } from '../../request/outcome.js'
import { RefusalReason } from '../../request/refusalReason.js'
import { Caller } from '../caller.js'

const test = suite('Caller')
/** Longer than any call's deadline, so that a call ends with the answer that states it. */
const FINAL_RETRY_AFTER_MS = 60_000
let host: Server
/** Port that look-ups name; the stand-in host's own if undefined. */
let namedPort: number | undefined
let caller: Caller
/** Outcomes that the stand-in host states, in turn; the last one is final. */
let outcomes: Outcome[] = []

test.before.each(async () => {
  host = createServer((message, response) => {
    const port = namedPort ?? (host.address() as AddressInfo).port
    if (message.url?.startsWith('/v1/lookup') === true) {
      response.end(JSON.stringify({ revision: 1, ttlMs: 1_000, hosts: [{ name: 'a-1', incarnation: 1, address: `127.0.0.1:${port}`, weight: 1 }] }))
      return
    }
    const outcome = outcomes.shift() ?? Outcome.run
    const retryAfterMs = outcomes.length === 0 ? FINAL_RETRY_AFTER_MS : 1
    response.writeHead(503, { [HeaderName.outcome]: outcome, [HeaderName.reason]: RefusalReason.answerLost, [HeaderName.retryAfterMs]: retryAfterMs }).end()
  })
  await new Promise<void>((resolve) => { host.listen(0, '127.0.0.1', resolve) })
  const { port } = host.address() as AddressInfo
  caller = new Caller({ caller: 'c', hosts: [`127.0.0.1:${port}`], clock: new SystemClock(), random: () => 0 })
})
test.after.each(async () => {
  namedPort = undefined
  await caller.close()
  host.closeAllConnections()
  host.close()
})

const callWith = async (idempotent: boolean, ...stated: Outcome[]): Promise<Outcome> => {
  outcomes = stated
  const { outcome } = await caller.call({ service: 's', method: 'GET', path: '/', idempotent, deadlineMs: 5_000 }, new AbortController().signal)
  return outcome
}

// Guards against a call that ran at one home and is told not-run because the next home refused it.
test('an idempotent call that may have run is not told not-run by a later home', async () => {
  assert.is(await callWith(true, Outcome.unknown, Outcome.notRun), Outcome.unknown)
})

test('what the home of a non-idempotent call says last is final', async () => {
  assert.is(await callWith(false, Outcome.unknown, Outcome.notRun), Outcome.notRun)
})

test('an idempotent call that only was refused is told not-run', async () => {
  assert.is(await callWith(true, Outcome.notRun, Outcome.notRun), Outcome.notRun)
})

// Guards against a damaged answer of a host that a program takes for the answer to its call.
for (const [name, answer] of Object.entries(spoiltHeads).filter(([each]) => /^status \d{3}$/.test(each))) {
  test(`an answer with a damaged status is lost: ${name}`, async () => {
    const server = await SpoiltServer.start(answer)
    namedPort = server.port
    const reply = await caller.call({ service: 's', method: 'POST', path: '/', idempotent: false, deadlineMs: 300 }, new AbortController().signal)
    assert.is(reply.outcome, Outcome.unknown)
    assert.is(reply.reason, RefusalReason.answerLost)
    server.close()
  })
}

test.run()
