import { deflateRawSync } from 'node:zlib'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RelayedEvent } from '../relayedEvent.js'
import { LargeValues } from '../largeValues.js'

const test = suite('LargeValues')
const SEED = 20_261_205
const write = (key: string, revision: number, text: string): Extract<RelayedEvent, { kind: 'written' }> => ({ kind: 'written', item: { key, value: Buffer.from(text), revision, createdRevision: 1 } })
const filler = 'x'.repeat(4_096)

// Guards against a host that puts another configuration in force than the store holds.
test('a difference makes exactly the new value', () => {
  const piece = fc.oneof(fc.string({ maxLength: 8 }), fc.constantFrom('{"a":1}', '{', '}{', 'é{ü', '{"timeout":"2s"},'))
  fc.assert(fc.property(fc.array(piece, { maxLength: 60 }), fc.array(piece, { maxLength: 60 }), fc.nat(60), (before, inserted, at) => {
    const sender = new LargeValues()
    const receiver = new LargeValues()
    const base = write('configuration', 1, filler + before.join(''))
    for (const values of [sender, receiver]) values.record(base.item)
    const next = write('configuration', 2, filler + [...before.slice(0, at), ...inserted, ...before.slice(at + 3)].join(''))
    const encoded = sender.encode(next)
    assert.is(encoded.kind, 'patched')
    assert.equal(receiver.decode(encoded), next)
  }), { seed: SEED, numRuns: 300 })
})

test('small values, and those without a known value before, are sent whole', () => {
  const values = new LargeValues()
  const small = write('target/1', 3, '{}')
  assert.is(values.encode(small), small)
  const first = write('configuration', 3, filler)
  assert.is(values.encode(first), first)
  values.record(first.item)
  values.clear()
  const next = write('configuration', 4, filler)
  assert.is(values.encode(next), next)
})

// Guards against a datagram of somebody else that ends the process, exhausts its memory or puts a spoilt value in force.
test('steps that no host has made are not applied', () => {
  const values = new LargeValues()
  const base = write('configuration', 1, `${filler}{"a":1}{"b":2}`)
  values.record(base.item)
  const decode = (steps: Uint8Array): unknown => values.decode({ kind: 'patched', key: 'configuration', revision: 2, createdRevision: 1, patch: { baseRevision: 1, hash: 0, steps } })
  const nested = `${'['.repeat(100_000)}${']'.repeat(100_000)}`
  for (const steps of ['', 'x', '{}', '[[0,1e400]]', '[[-1,2]]', '[[0,0]]', '[[0.5,1]]', '[[0,9]]', '[[3,1]]', '[["a",1]]', '[7]', nested, JSON.stringify(Array.from({ length: 5_000 }, () => [0, 3]))]) assert.is(decode(deflateRawSync(steps)), undefined, steps.slice(0, 20))
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => { assert.is(decode(bytes), undefined) }), { seed: SEED, numRuns: 300 })
})

test.run()
