import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { spoiltHeads } from '../../../connection/__fixtures__/spoiltHeads.js'
import { SpoiltServer } from '../../../connection/__fixtures__/spoiltServer.js'
import { AlmondrelayError } from '../../errors/almondrelayError.js'
import { HttpPlatform } from '../httpPlatform.js'

type Handler = (request: IncomingMessage, body: string, response: ServerResponse) => void

const never = new AbortController().signal

async function runWithServer (handler: Handler, run: (platform: HttpPlatform) => Promise<void>): Promise<void> {
  const server: Server = createServer((request, response) => {
    let body = ''
    request.on('data', (data) => { body += String(data) })
    request.on('end', () => { handler(request, body, response) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const platform = new HttpPlatform({ url: `http://127.0.0.1:${port}`, timeoutMs: 200 })
  try {
    await run(platform)
  } finally {
    await platform.close()
    server.closeAllConnections()
    await new Promise((resolve) => { server.close(resolve) })
  }
}

const sendAnswer = (response: ServerResponse, status: number, body?: object): void => {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(body === undefined ? undefined : JSON.stringify(body))
}

async function collectKind (work: Promise<unknown>): Promise<string> {
  const error = await work.then(() => undefined, (caught: unknown) => caught)
  assert.instance(error, AlmondrelayError)
  return (error as AlmondrelayError).kind
}

// Guards against a write that counts as rejected because of an answer that the platform never gave.
for (const [name, answer] of Object.entries(spoiltHeads).filter(([each]) => /^status \d{3}$/.test(each))) {
  test(`a write whose answer has a damaged status may have taken effect: ${name}`, async () => {
    const server = await SpoiltServer.start(answer)
    const platform = new HttpPlatform({ url: `http://127.0.0.1:${server.port}`, timeoutMs: 5_000 })
    assert.is(await collectKind(platform.put('key', 'value', 0, never)), 'platform-unavailable')
    await platform.close()
    server.close()
  })
}

test('each call has the documented method, path and body', async () => {
  const seen: string[] = []
  const entry = { key: 'changes/000000000001', value: 'v', version: 1 }
  await runWithServer((request, body, response) => {
    seen.push(`${request.method} ${request.url} ${body}`.trim())
    if (request.url?.includes('absent')) return sendAnswer(response, 404)
    if (request.url?.startsWith('/v1/leases')) return request.method === 'DELETE' ? sendAnswer(response, 204) : sendAnswer(response, 200, { leaseId: 'l1', renewed: true })
    if (request.url?.startsWith('/v1/watch')) return sendAnswer(response, 200, { events: [], sequence: 7 })
    if (request.url?.startsWith('/v1/kv?')) return sendAnswer(response, 200, { entries: [entry] })
    if (request.method === 'GET') return sendAnswer(response, 200, entry)
    sendAnswer(response, request.method === 'PUT' ? 200 : 409, { stored: request.method === 'PUT', version: 1 })
  }, async (platform) => {
    assert.equal(await platform.get('changes/000000000001', never), entry)
    assert.is(await platform.get('absent', never), undefined)
    assert.equal(await platform.put('a/b', 'v', 0, never), { stored: true, version: 1 })
    assert.equal(await platform.delete('a/b', 4, never), { stored: false, version: 1 })
    assert.equal(await platform.list('changes/', '', 5, never), [entry])
    assert.is((await platform.watch('changes/', -1, 0, never)).sequence, 7)
    assert.is(await platform.grantLease(500, never), 'l1')
    assert.is(await platform.renewLease('l1', never), true)
    await platform.releaseLease('l1', never)
  })
  assert.equal(seen, [
    'GET /v1/kv/changes%2F000000000001',
    'GET /v1/kv/absent',
    'PUT /v1/kv/a%2Fb {"value":"v","expectedVersion":0}',
    'DELETE /v1/kv/a%2Fb?expectedVersion=4',
    'GET /v1/kv?prefix=changes%2F&after=&limit=5',
    'GET /v1/watch?prefix=changes%2F&afterSequence=-1&waitMs=0',
    'POST /v1/leases {"ttlMs":500}',
    'POST /v1/leases/l1/renew {}',
    'DELETE /v1/leases/l1'
  ])
})

// A host must not wait forever on a platform that accepts a request and sends no answer, or only a part of one: each
// call must end by its own deadline.
test('a platform that accepts a call and sends no answer is unavailable', async () => {
  await runWithServer((request, _body, response) => {
    if (request.url?.includes('half')) response.writeHead(200, { 'content-length': '100' }).write('{"key"')
  }, async (platform) => {
    assert.is(await collectKind(platform.get('silent', never)), 'platform-unavailable')
    assert.is(await collectKind(platform.get('half', never)), 'platform-unavailable')
    assert.is(await collectKind(platform.put('silent', 'v', 0, never)), 'platform-unavailable')
  })
})

test('an abort ends a call, and a server error or an invalid body is not an answer', async () => {
  await runWithServer((request, _body, response) => {
    if (request.url?.includes('error')) return sendAnswer(response, 503, {})
    if (request.url?.includes('strange')) return sendAnswer(response, 200, { hello: 1 })
    if (request.url?.includes('large')) sendAnswer(response, 413, {})
  }, async (platform) => {
    const owner = new AbortController()
    const waiting = collectKind(platform.watch('changes/', 0, 60_000, owner.signal))
    owner.abort()
    assert.is(await waiting, 'platform-unavailable')
    assert.is(await collectKind(platform.get('error', never)), 'platform-unavailable')
    assert.is(await collectKind(platform.get('strange', never)), 'platform-unavailable')
    assert.is(await collectKind(platform.put('large', 'v', 0, never)), 'request-invalid')
  })
})

test('a platform whose process has exited is unavailable', async () => {
  let gone: HttpPlatform | undefined
  await runWithServer(() => {}, async (platform) => { gone = platform })
  const platform = new HttpPlatform({ url: 'http://127.0.0.1:1', timeoutMs: 200 })
  assert.is(await collectKind(platform.get('a', never)), 'platform-unavailable')
  assert.is(await collectKind((gone as HttpPlatform).get('a', never)), 'platform-unavailable')
  await platform.close()
})

test.run()
