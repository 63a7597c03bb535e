import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { StoreEvent } from '../../store/storeEvent.js'
import { dropSupersededValues } from '../dropSupersededValues.js'

const test = suite('dropSupersededValues')
const write = (key: string, revision: number, bytes: number): StoreEvent => ({ kind: 'written', item: { key, value: Buffer.alloc(bytes), revision, createdRevision: 1 } })

// Guards against a host that decodes every version of a large configuration, and falls behind for lack of processor time.
test('only the last of several large values of a key is left, and all small ones', () => {
  const events = [write('a', 1, 9_000), write('b', 2, 9_000), write('c', 3, 100), write('a', 4, 9_000), { kind: 'deleted' as const, key: 'b', revision: 5 }, write('c', 6, 100)]
  assert.equal(dropSupersededValues(events), [events[1], events[2], events[3], events[4], events[5]])
})

test.run()
