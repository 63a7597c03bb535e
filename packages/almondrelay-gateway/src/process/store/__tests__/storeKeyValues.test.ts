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

test('values come back as they were written, long ones too, and only under their own prefix', async () => {
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

test('a put on another version than the one that stands changes nothing', async () => {
  const values = new StoreKeyValues(new FakeRevisionStore(), 'use/')
  const first = await values.put('a', 'one', 0, never)
  assert.not((await values.put('a', 'two', 0, never)).stored)
  assert.ok((await values.put('a', 'two', first.version, never)).stored)
  assert.not((await values.delete('a', first.version, never)).stored)
  assert.is((await values.get('a', never))?.value, 'two')
})

// An operator's change is made, and the store's answer to it is lost. Told that it was refused, the operator would make
// it again by hand, perhaps after another one's change. The change's key tells whose it is.
test('a change whose answer was lost is told as accepted', async () => {
  const store = new FakeRevisionStore()
  store.losesAnswers = true
  const { log } = openLog(new StoreKeyValues(store, 'use/'))
  const outcome = await log.submit(makeRegion('akl'), never)
  assert.equal(outcome, { outcome: 'accepted', writeId: 'write-akl', revision: 1 })
})

// Two hosts take a change each at the same moment. One key can be created only once: one host sees its change as
// revision 1, the other's goes after it, and both hosts end with the same resources.
test('changes of two hosts follow one another, and each host ends with both', async () => {
  const store = new FakeRevisionStore()
  const hosts = [openLog(new StoreKeyValues(store, 'use/')), openLog(new StoreKeyValues(store, 'use/'))] as const
  const outcomes = await Promise.all(hosts.map(({ log }, index) => log.submit(makeRegion(['akl', 'wlg'][index] as string), never)))
  assert.equal(outcomes.map(({ outcome }) => outcome), ['accepted', 'accepted'])
  for (const host of hosts) await repairFromPlatform(new StoreKeyValues(store, 'use/'), host.store, never)
  assert.equal(hosts.map(({ store: { current } }) => current.revision), [2, 2])
})

test('a store that is away is told as such', async () => {
  const store = new FakeRevisionStore()
  store.isDown = true
  const error: unknown = await new StoreKeyValues(store, 'use/').get('a', never).catch((caught: unknown) => caught)
  assert.ok(error instanceof AlmondrelayError)
  assert.is((error as AlmondrelayError).kind, 'platform-unavailable')
})

test.run()
