import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { request } from 'undici'
import { listenApp } from '../../network/listenApp.js'
import { createPlatformApp } from '../createPlatformApp.js'

type Call = (method: string, path: string, body?: unknown) => Promise<{ status: number, body: any }>

/** Serves a platform whose clock the test moves. */
async function withPlatform (run: (send: Call, clock: { now: number }) => Promise<void>): Promise<void> {
  const controller = new AbortController()
  const clock = { now: 0 }
  const app = createPlatformApp({ signal: controller.signal, hostListLagMs: 500, readNow: () => clock.now })
  const address = await listenApp(app, '127.0.0.1:0', controller.signal)
  const send: Call = async (method, path, body) => {
    const answer = await request(`http://${address}${path}`, { method: method as 'GET', ...(body === undefined ? {} : { body: JSON.stringify(body) }), reset: true })
    const text = await answer.body.text()
    return { status: answer.statusCode, body: text === '' ? undefined : JSON.parse(text) }
  }
  await run(send, clock)
  controller.abort()
}

const tryCall = async (promise: Promise<unknown>): Promise<string> => await promise.then(() => 'answered', () => 'no answer')

test('keys with slashes are one path part, and a value over a megabyte is refused', async () => {
  await withPlatform(async (send) => {
    assert.equal(await send('PUT', '/v1/kv/changes%2F000000000001', { value: 'v', expectedVersion: 0 }), { status: 200, body: { stored: true, version: 1 } })
    assert.equal(await send('PUT', '/v1/kv/changes%2F000000000001', { value: 'w', expectedVersion: 0 }), { status: 409, body: { stored: false, version: 1 } })
    assert.equal(await send('GET', '/v1/kv/changes%2F000000000001'), { status: 200, body: { key: 'changes/000000000001', value: 'v', version: 1 } })
    assert.equal((await send('GET', '/v1/kv?prefix=changes%2F')).body.entries.length, 1)
    assert.is((await send('GET', '/v1/kv/none')).status, 404)
    assert.is((await send('PUT', '/v1/kv/big', { value: 'x'.repeat(1_048_577), expectedVersion: 0 })).status, 413)
    assert.equal(await send('DELETE', '/v1/kv/changes%2F000000000001?expectedVersion=1'), { status: 200, body: { stored: true, version: 0 } })
  })
})

test('a waiting watch is one call and wakes on the write', async () => {
  await withPlatform(async (send) => {
    const { body } = await send('GET', '/v1/watch?prefix=a&afterSequence=-1&waitMs=0')
    const waiting = send('GET', `/v1/watch?prefix=a&afterSequence=${body.sequence}&waitMs=60000`)
    await send('PUT', '/v1/kv/a', { value: 'v', expectedVersion: 0 })
    assert.is((await waiting).body.events[0].value, 'v')
    assert.is((await send('GET', '/control/counts')).body.watch, 2)
  })
})

// A writer's connection breaks after its write took effect. It sees an error, and would do
// the change twice if it took the error for a refusal.
test('a lost answer leaves the write in effect', async () => {
  await withPlatform(async (send) => {
    await send('PUT', '/control/faults', { loseAnswersAfterWrite: 1 })
    assert.is(await tryCall(send('PUT', '/v1/kv/a', { value: 'v', expectedVersion: 0 })), 'no answer')
    assert.is((await send('GET', '/v1/kv/a')).body.value, 'v')
    assert.is((await send('PUT', '/v1/kv/a', { value: 'w', expectedVersion: 1 })).status, 200)
  })
})

test('an outage stops every call before it takes effect, and ends', async () => {
  await withPlatform(async (send) => {
    await send('PUT', '/control/faults', { outage: 'refuse' })
    assert.is(await tryCall(send('PUT', '/v1/kv/a', { value: 'v', expectedVersion: 0 })), 'no answer')
    await send('PUT', '/control/faults', { rateLimit: { reads: 1, writes: 0 } })
    assert.is((await send('PUT', '/v1/kv/a', { value: 'v', expectedVersion: 0 })).status, 429)
    assert.is((await send('GET', '/v1/kv/a')).status, 404)
    assert.is((await send('GET', '/v1/kv/a')).status, 429)
  })
})

test('the host list lags and freezes', async () => {
  await withPlatform(async (send, clock) => {
    await send('PUT', '/control/hosts', [{ name: 'akl-a-1' }])
    clock.now = 499
    assert.equal((await send('GET', '/v1/hosts')).body.hosts, [])
    clock.now = 500
    assert.equal((await send('GET', '/v1/hosts')).body.hosts, [{ name: 'akl-a-1' }])
    await send('PUT', '/control/faults', { hostListFrozen: true })
    await send('PUT', '/control/hosts', [])
    clock.now = 9_000
    assert.equal((await send('GET', '/v1/hosts')).body.hosts, [{ name: 'akl-a-1' }])
    await send('PUT', '/control/faults', {})
    assert.equal((await send('GET', '/v1/hosts')).body.hosts, [])
  })
})

test.run()
