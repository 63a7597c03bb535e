import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { AlmondrelayError, ChangeLog, ConfigurationStore, SystemClock, repairFromPlatform, type Write } from 'almondrelay'
import { FakeRevisionStore } from '../../fleet/__fixtures__/fakeRevisionStore.js'
import { StoreKeyValues } from '../storeKeyValues.js'

const test = suite('StoreKeyValues')
const never = new AbortController().signal
const makeRegion = (name: string): Write => ({ writeId: `write-${name}`, author: 'test', action: 'put', resource: { kind: 'Region', name, revision: 0, spec: { availabilityZones: [`${name}-a`], maxInFlight: 10, clientBlocks: [] } } })
const openLog = (values: StoreKeyValues): { log: ChangeLog, store: ConfigurationStore } => {
  const store = new ConfigurationStore()
  return { store, log: new ChangeLog({ platform: values, store, clock: new SystemClock() }) }
}

test('values are read as they were written, also long ones, and are stored under the prefix', async () => {
  const store = new FakeRevisionStore()
  const values = new StoreKeyValues(store, 'use/')
  const long = 'x'.repeat(10_000)
  assert.ok((await values.put('a', 'short', 0, never)).stored)
  assert.ok((await values.put('b', long, 0, never)).stored)
  assert.is((await values.get('a', never))?.value, 'short')
  assert.is((await values.get('b', never))?.value, long)
  assert.equal((await values.list('', '', 10, never)).map(({ key }) => key), ['a', 'b'])
  assert.ok(store.has('use/a'))
})

test('a put or delete with an outdated version changes nothing', async () => {
  const values = new StoreKeyValues(new FakeRevisionStore(), 'use/')
  const first = await values.put('a', 'one', 0, never)
  assert.not((await values.put('a', 'two', 0, never)).stored)
  assert.ok((await values.put('a', 'two', first.version, never)).stored)
  assert.not((await values.delete('a', first.version, never)).stored)
  assert.is((await values.get('a', never))?.value, 'two')
})

// An operator's change is stored, and the store's answer is lost. If the change were reported as refused, the operator would
// repeat it by hand, perhaps after another operator's change. The key of a revision holds the id of the write that created it.
test('a change whose answer was lost is reported as accepted', async () => {
  const store = new FakeRevisionStore()
  store.losesAnswers = true
  const { log } = openLog(new StoreKeyValues(store, 'use/'))
  const outcome = await log.submit(makeRegion('akl'), never)
  assert.equal(outcome, { outcome: 'accepted', writeId: 'write-akl', revision: 1 })
})

// Two hosts accept a change each at the same moment. A key can be created only once: one change becomes revision 1, the other
// one follows it, and both hosts end up with the same resources.
test('concurrent changes of two hosts are ordered, and each host ends up with both', async () => {
  const store = new FakeRevisionStore()
  const hosts = [openLog(new StoreKeyValues(store, 'use/')), openLog(new StoreKeyValues(store, 'use/'))] as const
  const outcomes = await Promise.all(hosts.map(({ log }, index) => log.submit(makeRegion(['akl', 'wlg'][index] as string), never)))
  assert.equal(outcomes.map(({ outcome }) => outcome), ['accepted', 'accepted'])
  for (const host of hosts) await repairFromPlatform(new StoreKeyValues(store, 'use/'), host.store, never)
  assert.equal(hosts.map(({ store: { current } }) => current.revision), [2, 2])
})

test('an unavailable store is reported as platform-unavailable', async () => {
  const store = new FakeRevisionStore()
  store.isDown = true
  const error: unknown = await new StoreKeyValues(store, 'use/').get('a', never).catch((caught: unknown) => caught)
  assert.ok(error instanceof AlmondrelayError)
  assert.is((error as AlmondrelayError).kind, 'platform-unavailable')
})

test.run()
