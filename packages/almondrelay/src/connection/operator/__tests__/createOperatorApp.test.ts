import Logger from 'bunyan'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createTestHost } from '../../../process/configuration/__fixtures__/createTestHost.js'
import type { Member } from '../../../process/membership/member.js'
import { FakeClock } from '../../../process/platform/__fixtures__/fakeClock.js'
import { FakePlatform } from '../../../process/platform/__fixtures__/fakePlatform.js'
import { createOperatorApp } from '../createOperatorApp.js'

const REGION = { availabilityZones: ['akl-a'], maxInFlight: 10 }
const WRITE_ID = '01900000-0000-7000-8000-000000000001'

const makeMember = (host: string, state: Member['state'], revision: number): Member => ({
  host, incarnation: 1, availabilityZone: 'akl-a', region: 'akl', callerAddress: '', peerAddress: '', revision, loads: [], state, heardAgeMs: 5
})

function createTestApp (members: Member[] = []) {
  const clock = new FakeClock()
  const platform = new FakePlatform(clock)
  const { store, changeLog } = createTestHost(platform, clock)
  let writes = 0
  const app = createOperatorApp({
    host: 'akl-a-1',
    store,
    changeLog,
    listMembers: () => [makeMember('akl-a-1', 'live', store.current.revision), ...members],
    statusHooks: { countWorkLeft: () => 3, countCarried: () => 4 },
    fetchAccount: async (query) => ({ pages: [], ...query }),
    makeWriteId: () => `01900000-0000-7000-9000-${String(++writes).padStart(12, '0')}`,
    log: new Logger({ name: 'test', streams: [] })
  }, new AbortController().signal)
  const send = async (method: string, path: string, spec?: unknown, headers: Record<string, string> = {}) => {
    const body = spec === undefined ? {} : { body: typeof spec === 'string' ? spec : JSON.stringify(spec) }
    const response = await app.request(path, { method, headers, ...body })
    return { status: response.status, etag: response.headers.get('etag'), body: await response.json() as Record<string, unknown> }
  }
  return { clock, platform, store, send }
}

type Problems = Array<{ path: string, found: string, remedy: string }>

test('a host without a configuration writes and shows nothing, but its status', async () => {
  const { send, store } = createTestApp()
  assert.is((await send('PUT', '/v1/resources/Region/akl', REGION)).status, 503)
  assert.is((await send('GET', '/v1/resources/Region')).status, 503)
  assert.is((await send('GET', '/v1/status')).body.isReady, false)
  assert.is(store.current.revision, 0)
})

test('put, get, list, conflict, delete and look-up by write id', async () => {
  const { send, store } = createTestApp()
  store.markReady()
  const put = await send('PUT', '/v1/resources/Region/akl', REGION, { 'almondrelay-write-id': WRITE_ID, 'if-none-match': '*' })
  assert.equal(put, { status: 200, etag: '"1"', body: { outcome: 'accepted', revision: 1, writeId: WRITE_ID } })
  const got = await send('GET', '/v1/resources/Region/akl')
  assert.is(got.etag, '"1"')
  assert.is((got.body.spec as typeof REGION).maxInFlight, 10)
  assert.is((got.body.status as { isInForce: boolean }).isInForce, true)
  assert.is((await send('PUT', '/v1/resources/Region/akl', REGION, { 'almondrelay-write-id': WRITE_ID })).body.revision, 1)
  assert.is((await send('PUT', '/v1/resources/Region/wlg', REGION, { 'almondrelay-write-id': WRITE_ID })).status, 400)
  assert.is((await send('PUT', '/v1/resources/Region/akl', REGION, { 'if-match': '"7"' })).status, 412)
  assert.is((await send('PUT', '/v1/resources/Region/akl', REGION, { 'if-none-match': '*' })).body.revision, 1)
  assert.is((await send('DELETE', '/v1/resources/Region/akl', undefined, { 'if-match': '"1"' })).status, 200)
  assert.is((await send('GET', '/v1/resources/Region/akl')).status, 404)
  assert.is((await send('DELETE', '/v1/resources/Region/akl')).status, 404)
  assert.equal((await send('GET', `/v1/writes/${WRITE_ID}`)).body, { outcome: 'accepted', revision: 1 })
  assert.is((await send('GET', '/v1/writes/other')).body.outcome, 'absent')
  const watch = await send('GET', '/v1/watch?after=1&waitMs=0')
  assert.equal((watch.body.changes as Array<{ action: string }>).map((each) => each.action), ['delete'])
})

test('bad input is refused with path, found and remedy, and nothing is stored', async () => {
  const { send, store, platform } = createTestApp()
  store.markReady()
  const cases: Array<[string, unknown, Record<string, string>, number, string]> = [
    ['/v1/resources/Regio/akl', REGION, {}, 404, 'kind'],
    ['/v1/resources/Region/AKL', REGION, {}, 400, 'name'],
    ['/v1/resources/Region/akl', '{"availabilityZones"', {}, 400, 'spec'],
    ['/v1/resources/Region/akl', { ...REGION, maxInFlight: -1 }, {}, 400, 'spec.maxInFlight'],
    ['/v1/resources/Region/akl', { ...REGION, colour: 'red' }, {}, 400, 'spec.colour'],
    ['/v1/resources/Region/akl', { ...REGION, clientBlocks: ['10.0.0.0/8', '10.0.0.0/99'] }, {}, 400, 'spec.clientBlocks.1'],
    ['/v1/resources/Region/akl', REGION, { 'if-match': 'W/"1"' }, 400, 'If-Match'],
    ['/v1/resources/Region/akl', REGION, { 'almondrelay-write-id': 'x' }, 400, 'Almondrelay-Write-Id'],
    ['/v1/resources/Region/akl', { ...REGION, clientBlocks: ['1'.repeat(1_100_000)] }, {}, 413, 'spec'],
    ['/v1/resources/Link/akl-wlg', { from: 'akl', to: 'wlg', latencyMs: 20, maxInFlight: 1 }, {}, 400, 'spec.from'],
    ['/v1/resources/Drain/d', { scope: 'target', name: 't1', service: 'balances' }, {}, 400, 'spec.service'],
    ['/v1/resources/Service/s', { targets: [{ name: 't1', address: '10.0.0.1:80', availabilityZone: 'akl-z', slots: 1 }] }, {}, 400, 'spec.targets.0.availabilityZone']
  ]
  for (const [path, spec, headers, status, field] of cases) {
    const refused = await send('PUT', path, spec, headers)
    const [problem] = refused.body.problems as Problems
    assert.is(refused.status, status, path)
    assert.is(problem?.path, field)
    assert.ok(problem?.found !== '' && problem?.remedy !== '', path)
  }
  assert.is(store.current.revision, 0)
  assert.is(platform.calls.get('put') ?? 0, 0)
})

test('a Region that others name is not deleted, and the answer says who names it', async () => {
  const { send, store } = createTestApp()
  store.markReady()
  await send('PUT', '/v1/resources/Region/akl', REGION)
  await send('PUT', '/v1/resources/Service/balances', { targets: [{ name: 't1', address: '10.0.0.1:80', availabilityZone: 'akl-a', slots: 1 }] })
  await send('PUT', '/v1/resources/Drain/d', { scope: 'target', name: 't1', service: 'balances' })
  const refused = await send('DELETE', '/v1/resources/Region/akl')
  assert.is(refused.status, 409)
  assert.match((refused.body.problems as Problems)[0]?.path ?? '', 'Service/balances')
  const emptied = await send('PUT', '/v1/resources/Service/balances', { targets: [] })
  assert.is(emptied.status, 200)
  const drain = await send('GET', '/v1/resources/Drain/d')
  assert.is((drain.body.status as { workLeft: number }).workLeft, 3)
})

// An operator sees that a change is applied and drains the next zone, though one host never received the change.
// Status must name the lagging host and the unreachable one.
test('status names the revision of a zone, the hosts that lag and those that are unreachable', async () => {
  const { send, store } = createTestApp([makeMember('akl-a-2', 'live', 0), makeMember('akl-a-3', 'suspected', 1), makeMember('akl-a-4', 'gone', 0)])
  store.markReady()
  await send('PUT', '/v1/resources/Region/akl', REGION)
  const status = (await send('GET', '/v1/resources/Region/akl')).body.status as Record<string, unknown>
  assert.is(status.isInForce, false)
  assert.equal(status.laggingHosts, ['akl-a-2'])
  assert.equal(status.unreachableHosts, ['akl-a-3'])
  assert.equal([status.carried, status.limit], [4, 10])
  const whole = (await send('GET', '/v1/status')).body
  assert.equal(whole.laggingHosts, [{ host: 'akl-a-2', revision: 0 }])
  assert.equal((whole.availabilityZones as Array<{ revision: number }>)[0]?.revision, 0)
})

// The platform is down when an operator applies a change. The answer must be `unknown` with the
// write's id: the change may have been stored, so a refusal could be untrue.
test('a write during an outage is unknown, and the answer has the id to look it up', async () => {
  const { send, store, platform, clock } = createTestApp()
  store.markReady()
  platform.faults.outage = true
  const sent = send('PUT', '/v1/resources/Region/akl', REGION, { 'almondrelay-write-id': WRITE_ID })
  await clock.advance(10_000)
  assert.equal((await sent).body, { outcome: 'unknown', writeId: WRITE_ID })
  assert.is((await sent).status, 503)
})

test('a watch waits for the next change and ends with it', async () => {
  const { send, store } = createTestApp()
  store.markReady()
  const watch = send('GET', '/v1/watch?after=0&waitMs=5000')
  await send('PUT', '/v1/resources/Region/akl', REGION)
  assert.is((await watch).body.revision, 1)
  assert.is((await send('GET', '/v1/watch?after=x')).status, 400)
})

test.run()
