import type { AddressInfo } from 'node:net'
import Logger from 'bunyan'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTestGuard } from '../../__fixtures__/makeTestGuard.js'
import { ConfigurationStore } from '../../../process/configuration/configurationStore.js'
import { LeavingTargets } from '../../../process/membership/leavingTargets.js'
import { Membership } from '../../../process/membership/membership.js'
import { SystemClock } from '../../../process/platform/systemClock.js'
import { listenForPeers } from '../../peer/listenForPeers.js'
import { PeerConnection } from '../../peer/peerConnection.js'
import { ExchangeHub } from '../exchangeHub.js'
import { handleExchange } from '../handleExchange.js'
import { handleFetchChanges } from '../handleFetchChanges.js'
import { runExchanges } from '../runExchanges.js'

const clock = new SystemClock()

/** Starts a peer that knows the address of `seed`, if given, and exchanges heartbeats with it. */
async function startPeer (host: string, seed?: { host: string, peerAddress: string }) {
  const owner = new AbortController()
  const paused = new AbortController()
  const waitForever = async (): Promise<never> => await new Promise(() => {})
  const server = await listenForPeers('127.0.0.1:0', {
    exchange: async (request) => paused.signal.aborted ? await waitForever() : handleExchange(request, hub),
    fetchChanges: (request) => handleFetchChanges(request, hub)
  }, makeTestGuard(), owner.signal)
  const peerAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const location = { availabilityZone: 'akl-a', region: 'akl', callerAddress: '' }
  const settings = { self: { host, incarnation: 1_790_000_000_000, peerAddress, ...location }, heartbeatMs: 50, suspectAfterMs: 300 }
  const membership = new Membership(settings)
  if (seed !== undefined) membership.addSeed({ ...seed, isLeaving: false, ...location })
  const hub = new ExchangeHub({
    ...settings,
    membership,
    leavingTargets: new LeavingTargets(),
    store: new ConfigurationStore(),
    clock,
    log: new Logger({ name: 'test', streams: [] }),
    createClient: (address, signal) => {
      const connection = new PeerConnection(address)
      signal.addEventListener('abort', () => { connection.close() }, { once: true })
      return connection.client
    },
    handleRefusal: () => {}
  }, owner.signal)
  const task = runExchanges(hub, paused.signal)
  const stop = async () => {
    paused.abort()
    owner.abort()
    await task
  }
  /** From now on accepts connections and requests, but neither answers nor sends messages. */
  const stopAnswering = () => { paused.abort() }
  return { host, peerAddress, membership, stop, stopAnswering }
}

async function waitForState (membership: Membership, host: string, state: string): Promise<void> {
  while (membership.getMember(host, clock.getNow())?.state !== state) await clock.sleep(10, new AbortController().signal)
}

// A host's process ends: its sockets are closed and its port refuses connections. HTTP/2 and Connect wrap the refused
// connection in other errors. If it were taken for a missing answer, the slots and capacity that the host held would stay
// unavailable until every lease has expired.
test('on real sockets a peer whose process ends is gone, and one that accepts connections but does not answer is suspected', async () => {
  const first = await startPeer('akl-a-1')
  const second = await startPeer('akl-a-2', first)
  const third = await startPeer('akl-a-3', first)
  for (const host of ['akl-a-2', 'akl-a-3']) await waitForState(first.membership, host, 'live')
  const gone: string[] = []
  first.membership.subscribe((event) => { if (event.kind === 'gone') gone.push(event.host) })

  third.stopAnswering()
  await waitForState(first.membership, 'akl-a-3', 'suspected')
  assert.equal(gone, [])
  await second.stop()
  await waitForState(first.membership, 'akl-a-2', 'gone')
  assert.equal(gone, ['akl-a-2'])
  assert.is(first.membership.getMember('akl-a-3', clock.getNow())?.state, 'suspected')
  await third.stop()
  await waitForState(first.membership, 'akl-a-3', 'gone')
  await first.stop()
})

test.run()
