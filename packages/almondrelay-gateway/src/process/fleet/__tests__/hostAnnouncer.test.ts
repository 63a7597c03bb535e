import bunyan from 'bunyan'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EventLog } from '../../observe/eventLog.js'
import { FakeRevisionStore } from '../__fixtures__/fakeRevisionStore.js'
import { PlainFleetCodec } from '../__fixtures__/plainFleetCodec.js'
import { HostAnnouncer } from '../hostAnnouncer.js'

const test = suite('HostAnnouncer')
const entry = { name: 'own', incarnation: 'i1', availabilityZone: 'akl-a', region: 'akl', ip: '10.0.0.1', callerPort: 1, peerPort: 2 }

const start = async (store: FakeRevisionStore): Promise<{ announcer: HostAnnouncer, stop: () => Promise<void> }> => {
  const log = new EventLog(bunyan.createLogger({ name: 'test', streams: [] }), () => 0)
  const leaving = new AbortController()
  const announcer = new HostAnnouncer({ store, codec: new PlainFleetCodec(), entry, log, random: () => 0 })
  store.era.handleReturn = () => { announcer.handleStoreReturn(1) }
  const running = announcer.run(leaving.signal)
  for (let look = 0; look < 1_000 && !store.has('host/own'); look += 1) await new Promise((resolve) => { setTimeout(resolve, 5) })
  return {
    announcer,
    stop: async () => {
      leaving.abort()
      await running
    }
  }
}

// A host makes a planned stop on a busy machine, and its single call to remove its entry is not answered in time. Look-ups in other
// regions would return the stopped host to callers until the lease expires.
test('a planned stop removes the entry although calls are lost', async () => {
  const store = new FakeRevisionStore()
  const host = await start(store)
  assert.ok(store.has('host/own'))
  store.lostReleases = 2
  await host.stop()
  assert.not(store.has('host/own'))
})

// A host is stopped just after its start, before it has received the answer to the write of its entry. It assumed that the entry was
// not written, and left it in the store.
test('a planned stop removes an entry whose write was never answered', async () => {
  const store = new FakeRevisionStore()
  store.losesAnswers = true
  const host = await start(store)
  assert.ok(store.has('host/own'))
  await host.stop()
  assert.not(store.has('host/own'))
})

test('a store that never answers does not block a planned stop', async () => {
  const store = new FakeRevisionStore()
  const host = await start(store)
  store.lostReleases = Infinity
  await host.stop()
  assert.ok(store.has('host/own'))
})

const waitFor = async (check: () => boolean, what: string): Promise<void> => {
  for (let look = 0; look < 1_000; look += 1) {
    if (check()) return
    await new Promise((resolve) => { setTimeout(resolve, 5) })
  }
  throw new Error(`timed out waiting for ${what}`)
}

// Guards against a host that is missing in the store for as long as it runs. Its entry is gone after the return, and its lease id is
// another host's, so that every renewal succeeds.
test('the entry is written again after the store has returned from a copy', async () => {
  const store = new FakeRevisionStore()
  const copy = store.copy()
  const host = await start(store)
  store.returnFrom(copy)
  const other = await store.grantLease()
  assert.ok(await store.renewLease(other))
  await waitFor(() => store.has('host/own'), 'the entry')
  const [item] = store.listItems()
  assert.is((JSON.parse(item?.value.toString() ?? '{}') as { storeEra: number }).storeEra, other.era)
  await host.stop()
  assert.not(store.has('host/own'))
})

// Guards against a planned stop that removes another host's entry: the lease id of the stopped host was given out again.
test('a planned stop after the return of the store releases no lease of another host', async () => {
  const store = new FakeRevisionStore()
  const copy = store.copy()
  const host = await start(store)
  store.isDown = true
  store.returnFrom(copy)
  store.isDown = false
  const other = await store.grantLease()
  store.write('host/other', { ...entry, name: 'other' }, other.id)
  store.isDown = true
  await host.stop()
  assert.ok(store.has('host/other'))
})

test.run()
