import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { StoreEvent } from '../../store/storeEvent.js'
import { splitChanges } from '../splitChanges.js'
import { makePosition } from '../../store/__fixtures__/makePosition.js'

const test = suite('splitChanges')
const SEED = 20_261_203
const MAX_CHUNK_BYTES = 200
const write = (revision: number, bytes: number): StoreEvent => ({ kind: 'written', item: { key: `target/${revision}`, value: Buffer.alloc(bytes), revision, createdRevision: 1 } })

test('changes that fit make one chunk', () => {
  const changes = { after: makePosition(4), upTo: makePosition(9), events: [write(5, 10), write(7, 10)], forwardTo: [] }
  assert.equal(splitChanges(changes, MAX_CHUNK_BYTES), [changes])
})

// Guards against an unnoticed gap: when one of several datagrams is lost, the receiver must see that changes are missing.
test('each chunk names the previous one\'s end; together the chunks hold every change once, in order and up to the same revision', () => {
  fc.assert(fc.property(fc.array(fc.nat(150), { minLength: 1, maxLength: 40 }), (sizes) => {
    const events = sizes.map((bytes, index) => write(10 + index * 2, bytes))
    const chunks = splitChanges({ after: makePosition(3), upTo: makePosition(1_000), events, forwardTo: [] }, MAX_CHUNK_BYTES)
    assert.equal(chunks.flatMap((chunk) => chunk.events), events)
    assert.equal(chunks[0]?.after, makePosition(3))
    assert.equal(chunks.at(-1)?.upTo, makePosition(1_000))
    for (const [index, chunk] of chunks.slice(1).entries()) assert.equal(chunk.after, chunks[index]?.upTo)
  }), { seed: SEED, numRuns: 300 })
})

// Guards against a change that is too large for any datagram, such as a configuration of a hundred kilobytes. The changes before it are
// relayed, and hosts that receive a report with a newer revision ask the store for the rest.
test('the list ends before a change that is too large for a chunk', () => {
  const chunks = splitChanges({ after: makePosition(3), upTo: makePosition(20), events: [write(5, 10), write(6, 500), write(7, 10)], forwardTo: [] }, MAX_CHUNK_BYTES)
  assert.is(chunks.length, 1)
  assert.equal(chunks[0]?.upTo, makePosition(5))
  assert.equal(splitChanges({ after: makePosition(3), upTo: makePosition(20), events: [write(6, 500)], forwardTo: [] }, MAX_CHUNK_BYTES), [])
})

// Guards against a host that counts a revision as known when it has only some of the changes that were made with it, in one transaction.
test('changes of one revision are not split over chunks', () => {
  const events = [write(5, 60), write(6, 60), write(6, 60), write(7, 60)]
  const chunks = splitChanges({ after: makePosition(3), upTo: makePosition(7), events, forwardTo: [] }, MAX_CHUNK_BYTES)
  assert.equal(chunks.map((chunk) => chunk.events.length), [1, 2, 1])
  const tooLong = [write(5, 60), write(6, 90), write(6, 90), write(7, 10)]
  assert.equal(splitChanges({ after: makePosition(3), upTo: makePosition(7), events: tooLong, forwardTo: [] }, MAX_CHUNK_BYTES).map(({ upTo }) => upTo), [makePosition(5)])
})

test.run()
