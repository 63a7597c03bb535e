import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { StoreEvent } from '../../store/storeEvent.js'
import { splitChanges } from '../splitChanges.js'

const test = suite('splitChanges')
const SEED = 20_261_203
const MOST_BYTES = 200
const write = (revision: number, bytes: number): StoreEvent => ({ kind: 'written', item: { key: `target/${revision}`, value: Buffer.alloc(bytes), revision, createdRevision: 1 } })

test('changes that fit go in one part', () => {
  const changes = { afterRevision: 4, upToRevision: 9, events: [write(5, 10), write(7, 10)], forwardTo: [] }
  assert.equal(splitChanges(changes, MOST_BYTES), [changes])
})

// A datagram is lost among several. Its receiver must see that something is missing between those that came.
test('parts name the one before them, hold every change once and in order, and end where the whole does', () => {
  fc.assert(fc.property(fc.array(fc.nat(150), { minLength: 1, maxLength: 40 }), (sizes) => {
    const events = sizes.map((bytes, index) => write(10 + index * 2, bytes))
    const parts = splitChanges({ afterRevision: 3, upToRevision: 1_000, events, forwardTo: [] }, MOST_BYTES)
    assert.equal(parts.flatMap((part) => part.events), events)
    assert.is(parts[0]?.afterRevision, 3)
    assert.is(parts.at(-1)?.upToRevision, 1_000)
    for (const [index, part] of parts.slice(1).entries()) assert.is(part.afterRevision, parts[index]?.upToRevision)
  }), { seed: SEED, numRuns: 300 })
})

// A configuration of a hundred kilobytes changes. No datagram carries it; what was before it is handed on, and everybody
// who has the word of a newer revision asks the store for the rest.
test('a change that fits into no part ends the list before it', () => {
  const parts = splitChanges({ afterRevision: 3, upToRevision: 20, events: [write(5, 10), write(6, 500), write(7, 10)], forwardTo: [] }, MOST_BYTES)
  assert.is(parts.length, 1)
  assert.is(parts[0]?.upToRevision, 5)
  assert.equal(splitChanges({ afterRevision: 3, upToRevision: 20, events: [write(6, 500)], forwardTo: [] }, MOST_BYTES), [])
})

test.run()
