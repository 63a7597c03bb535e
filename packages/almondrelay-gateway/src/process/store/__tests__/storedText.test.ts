import { gzipSync } from 'node:zlib'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { storedText } from '../storedText.js'

const test = suite('storedText')
const PARAMETERS = { seed: 20_261_203, numRuns: 200 }
const decode = async (bytes: Uint8Array): Promise<string | undefined> => storedText.decode(Buffer.from(bytes)).catch(() => undefined)

test('a text is decoded as it was encoded', async () => {
  await fc.assert(fc.asyncProperty(fc.string({ maxLength: 2_000 }), async (text) => await decode(await storedText.encode(text)) === Buffer.from(text).toString()), PARAMETERS)
})

test('arbitrary bytes decode to a text or reject with an error, and nothing else', async () => {
  await fc.assert(fc.asyncProperty(fc.uint8Array({ maxLength: 300 }), async (bytes) => { await decode(Uint8Array.from([0x1f, 0x8b, ...bytes])) }), PARAMETERS)
})

// Another writer stores a small value under one of the product's own keys that decompresses to more than a host's memory.
test('a value that decompresses to more than the maximum length of a text is rejected', async () => {
  const bomb = gzipSync(Buffer.alloc(64 * 1024 * 1024))
  assert.ok(bomb.byteLength < 100_000)
  assert.is(await decode(bomb), undefined)
})

test.run()
