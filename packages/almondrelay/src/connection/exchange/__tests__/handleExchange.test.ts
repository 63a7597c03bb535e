import { create } from '@bufbuild/protobuf'
import { ConnectError } from '@connectrpc/connect'
import { ExchangeRequestSchema, FetchChangesRequestSchema } from 'almondrelay-protocol'
import type { ExchangeRequest } from 'almondrelay-protocol'
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { makeWrite } from '../../../process/configuration/__fixtures__/makeWrite.js'
import { FakeFleet } from '../__fixtures__/fakeFleet.js'
import { findRefusal } from '../findRefusal.js'
import { handleExchange } from '../handleExchange.js'
import { handleFetchChanges } from '../handleFetchChanges.js'

const SENDER = { host: 'akl-a-02', incarnation: 1_790_000_000_001n, availabilityZone: 'akl-a', region: 'akl', protocolVersion: 1 }

function collectRefusal (run: () => unknown): string | undefined {
  try {
    run()
    return undefined
  } catch (error) {
    assert.instance(error, ConnectError)
    assert.ok((error as ConnectError).rawMessage.includes(': '), 'the message names the remedy')
    return findRefusal(error)
  }
}

async function startReadyHost () {
  const fleet = new FakeFleet()
  const host = fleet.startHost('akl-a-01', [])
  await fleet.clock.advance(1_000)
  await host.changeLog.submit(makeWrite('w1', 'akl'), new AbortController().signal)
  return { fleet, host }
}

const describeState = (host: Awaited<ReturnType<typeof startReadyHost>>['host'], now: number): string =>
  JSON.stringify([host.store.current.revision, host.membership.listMembers(now)])

test('bad input from a peer is refused by kind, and changes nothing', async () => {
  const { fleet, host } = await startReadyHost()
  const now = fleet.clock.getNow()
  handleExchange(create(ExchangeRequestSchema, { sender: SENDER, hosts: [{ ...SENDER, peerAddress: '10.0.0.2:1', callerAddress: '10.0.0.2:2' }] }), host.hub)
  const before = describeState(host, now)
  const cases: Array<[string, Parameters<typeof create<typeof ExchangeRequestSchema>>[1]]> = [
    ['malformed', {}],
    ['malformed', { sender: { ...SENDER, host: 'no/name' } }],
    ['malformed', { sender: { ...SENDER, incarnation: 0n } }],
    ['malformed', { sender: SENDER, revision: 2n ** 63n }],
    ['malformed', { sender: SENDER, hosts: [{ ...SENDER, peerAddress: 'somewhere' }] }],
    ['malformed', { sender: SENDER, hosts: Array.from({ length: 300 }, () => SENDER) }],
    ['protocol-version', { sender: { ...SENDER, protocolVersion: 0 } }],
    ['protocol-version', { sender: { ...SENDER, protocolVersion: 2 } }],
    ['stale-incarnation', { sender: { ...SENDER, incarnation: 5n } }],
    ['name-taken', { sender: SENDER, hosts: [{ ...SENDER, peerAddress: '10.0.0.9:1' }] }],
    ['name-taken', { sender: { ...SENDER, host: 'akl-a-01' } }]
  ]
  for (const [refusal, init] of cases) {
    assert.is(collectRefusal(() => handleExchange(create(ExchangeRequestSchema, init), host.hub)), refusal)
    assert.is(describeState(host, now), before, refusal)
  }
  fleet.stopAll()
})

test('a heartbeat with arbitrary values in any field is accepted or refused, and causes no other error (seed 13)', async () => {
  const { fleet, host } = await startReadyHost()
  const arbitraryHost = fc.record({
    host: fc.oneof(fc.string(), fc.constantFrom('akl-a-01', 'akl-a-02')),
    incarnation: fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }),
    availabilityZone: fc.oneof(fc.string(), fc.constant('akl-a')),
    region: fc.oneof(fc.string(), fc.constant('akl')),
    protocolVersion: fc.constantFrom(0, 1, 1, 1, 2),
    peerAddress: fc.oneof(fc.string(), fc.constantFrom('', '10.0.0.1:1')),
    revision: fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }),
    ageMs: fc.integer({ min: 0, max: 2 ** 32 - 1 }),
    gone: fc.boolean()
  })
  fc.assert(fc.property(arbitraryHost, fc.array(arbitraryHost, { maxLength: 4 }), (sender, hosts) => {
    const request: ExchangeRequest = create(ExchangeRequestSchema, { sender, revision: sender.revision, hosts })
    collectRefusal(() => handleExchange(request, host.hub))
    assert.is(host.store.current.revision, 1)
    assert.is(host.membership.getMember('akl-a-01', 0)?.state, 'live')
  }), { seed: 13, numRuns: 500 })
  fleet.stopAll()
})

// A peer states revision 900 without having its changes. A host that trusted the number would wait
// for changes that never arrive, or adopt invented ones.
test('a revision that a peer can not prove is fetched change by change, and not trusted', async () => {
  const { fleet, host } = await startReadyHost()
  const dishonestPeer = fleet.startHost('akl-a-02', ['akl-a-01'])
  await fleet.clock.advance(2_000)
  const buildMessage = dishonestPeer.hub.buildMessage.bind(dishonestPeer.hub)
  dishonestPeer.hub.buildMessage = (peer, now) => {
    const sent = buildMessage(peer, now)
    return { ...sent, message: { ...sent.message, revision: 900n } }
  }
  await fleet.clock.advance(20_000)
  assert.is(host.store.current.revision, 1)
  await host.changeLog.submit(makeWrite('w2', 'wlg'), new AbortController().signal)
  await fleet.clock.advance(6_000)
  assert.is(dishonestPeer.store.current.revision, 2)
  fleet.stopAll()
})

test('changes are served in order, as a snapshot where they are no longer kept, and not before the host is ready', async () => {
  const { fleet, host } = await startReadyHost()
  const fetchChanges = (afterRevision: bigint) => handleFetchChanges(create(FetchChangesRequestSchema, { sender: SENDER, afterRevision, maxChanges: 10 }), host.hub)
  assert.equal(fetchChanges(0n).changes.map((change) => change.writeId), ['w1'])
  assert.equal(fetchChanges(1n).changes, [])
  const fresh = fleet.startHost('akl-a-03', [])
  fresh.store.adoptSnapshot(host.store.buildSnapshot())
  assert.is(collectRefusal(() => handleFetchChanges(create(FetchChangesRequestSchema, { sender: SENDER }), fresh.hub)), 'not-ready')
  fresh.store.markReady()
  const answer = handleFetchChanges(create(FetchChangesRequestSchema, { sender: SENDER, maxChanges: 10 }), fresh.hub)
  assert.is(answer.snapshotRevision, 1n)
  assert.is(JSON.parse(answer.snapshot).writes[0].writeId, 'w1')
  assert.is(collectRefusal(() => fetchChanges(2n ** 60n)), 'malformed')
  fleet.stopAll()
})

test.run()
