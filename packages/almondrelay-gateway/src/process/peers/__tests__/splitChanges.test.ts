import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { StoreEvent } from '../../store/storeEvent.js'
import { splitChanges } from '../splitChanges.js'

const test = suite('splitChanges')
const SEED = 20_261_203
const MOST_BYTES = 200
const write = (revision: number, bytes: number): StoreEvent => ({ kind: 'written', item: { key: `target/${revision}`, value: Buffer.alloc(bytes), revision, createdRevision: 1 } })

test('changes that fit make one chunk', () => {
  const changes = { afterRevision: 4, upToRevision: 9, events: [write(5, 10), write(7, 10)], forwardTo: [] }
  assert.equal(splitChanges(changes, MOST_BYTES), [changes])
})

// Guards against an unnoticed gap: when one of several datagrams is lost, the receiver must see that changes are missing.
test('each chunk names the previous one\'s end; together the chunks hold every change once, in order and up to the same revision', () => {
  fc.assert(fc.property(fc.array(fc.nat(150), { minLength: 1, maxLength: 40 }), (sizes) => {
    const events = sizes.map((bytes, index) => write(10 + index * 2, bytes))
    const parts = splitChanges({ afterRevision: 3, upToRevision: 1_000, events, forwardTo: [] }, MOST_BYTES)
    assert.equal(parts.flatMap((part) => part.events), events)
    assert.is(parts[0]?.afterRevision, 3)
    assert.is(parts.at(-1)?.upToRevision, 1_000)
    for (const [index, part] of parts.slice(1).entries()) assert.is(part.afterRevision, parts[index]?.upToRevision)
  }), { seed: SEED, numRuns: 300 })
})

// Guards against a change that is too large for any datagram, such as a configuration of a hundred kilobytes. The changes before it are
// relayed, and hosts that receive a report with a newer revision ask the store for the rest.
test('the list ends before a change that is too large for a chunk', () => {
  const parts = splitChanges({ afterRevision: 3, upToRevision: 20, events: [write(5, 10), write(6, 500), write(7, 10)], forwardTo: [] }, MOST_BYTES)
  assert.is(parts.length, 1)
  assert.is(parts[0]?.upToRevision, 5)
  assert.equal(splitChanges({ afterRevision: 3, upToRevision: 20, events: [write(6, 500)], forwardTo: [] }, MOST_BYTES), [])
})

test.run()
