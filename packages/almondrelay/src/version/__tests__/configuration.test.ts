import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Configuration } from '../configuration.js'
import type { Change } from '../resources/change.js'

const makeChange = (revision: number, name: string): Change => ({
  revision,
  writeId: `w${revision}`,
  author: 'test',
  writtenAt: 0,
  action: 'put',
  resource: { kind: 'Region', name, revision, spec: { availabilityZones: ['akl-a'], maxInFlight: 10, clientBlocks: [] } }
})

test('a change is applied only to the revision directly before it', () => {
  const first = Configuration.empty.apply(makeChange(1, 'akl'))
  assert.is(first?.revision, 1)
  assert.is(first?.apply(makeChange(3, 'wlg')), undefined)
  assert.is(first?.apply(makeChange(1, 'wlg')), undefined)
})

test('an earlier revision keeps its resources', () => {
  const first = Configuration.empty.apply(makeChange(1, 'akl'))
  const second = first?.apply({ revision: 2, writeId: 'w2', author: 'test', writtenAt: 0, action: 'delete', kind: 'Region', name: 'akl' })
  assert.is(second?.get('Region', 'akl'), undefined)
  assert.is(first?.get('Region', 'akl')?.spec.maxInFlight, 10)
})

test.run()
