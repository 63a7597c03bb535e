import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { PlatformStore } from '../platformStore.js'

test('compare-and-swap lets one of two racing creations win', () => {
  const store = new PlatformStore()
  assert.equal(store.put('a', 'first', 0, undefined, 0), { stored: true, version: 1 })
  assert.equal(store.put('a', 'second', 0, undefined, 0), { stored: false, version: 1 })
  assert.equal(store.get('a', 0), { key: 'a', value: 'first', version: 1 })
})

test('an old version fails after a deletion and a new creation', () => {
  const store = new PlatformStore()
  store.put('a', 'old', 0, undefined, 0)
  assert.equal(store.delete('a', 1, 0), { stored: true, version: 0 })
  assert.equal(store.put('a', 'new', 0, undefined, 0), { stored: true, version: 3 })
  assert.equal(store.put('a', 'late', 1, undefined, 0), { stored: false, version: 3 })
})

test('a lapsed lease takes its keys along, can not be renewed and carries no write', () => {
  const store = new PlatformStore()
  const lease = store.grantLease(100, 0)
  store.put('a', 'held', 0, lease, 0)
  assert.is(store.renewLease(lease, 90), true)
  assert.is(store.get('a', 189)?.value, 'held')
  assert.is(store.get('a', 190), undefined)
  assert.is(store.renewLease(lease, 191), false)
  assert.equal(store.put('a', 'late', 0, lease, 191), { stored: false, version: 0 })
})

test('a key that was written again without its lease outlives the lease', () => {
  const store = new PlatformStore()
  const lease = store.grantLease(100, 0)
  store.put('a', 'held', 0, lease, 0)
  store.put('a', 'free', 1, undefined, 10)
  assert.is(store.get('a', 500)?.value, 'free')
})

test('events under a prefix come once and in order', () => {
  const store = new PlatformStore()
  const { sequence } = store.readEvents('', -1, 0)
  store.put('a/1', 'x', 0, undefined, 0)
  store.put('b/1', 'y', 0, undefined, 0)
  store.delete('a/1', 1, 0)
  const result = store.readEvents('a/', sequence, 0)
  assert.equal(result.events.map((event) => [event.key, event.version, event.deleted]), [['a/1', 1, false], ['a/1', 2, true]])
  assert.equal(store.readEvents('a/', result.sequence, 0).events, [])
})

test('a list pages in key order', () => {
  const store = new PlatformStore()
  for (const key of ['c/3', 'c/1', 'd/1', 'c/2']) store.put(key, key, 0, undefined, 0)
  assert.equal(store.list('c/', '', 2, 0).map((entry) => entry.key), ['c/1', 'c/2'])
  assert.equal(store.list('c/', 'c/2', 2, 0).map((entry) => entry.key), ['c/3'])
})

test.run()
