import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeOrganisation } from '../__fixtures__/makeOrganisation.js'
import { findCommonRegions } from '../findCommonRegions.js'
import { identifyCaller } from '../identifyCaller.js'
import { OrganisationTable } from '../organisationTable.js'

const test = suite('identifyCaller')
const school = makeOrganisation({ name: 'school', keys: ['k1', 'k2'], priority: 1 })
const clinic = makeOrganisation({ name: 'clinic', keys: ['k3'], priority: 0 })
const table = new OrganisationTable([school, clinic])

test('a key identifies its organisation, on open routes too', () => {
  for (const isOpen of [true, false]) assert.equal(identifyCaller(table, 'k2', { isOpen }), { kind: 'organisation', organisation: school })
})

test('no key, or one of no organisation, is accepted on open routes only', () => {
  for (const key of [undefined, 'k9', '']) {
    assert.equal(identifyCaller(table, key, { isOpen: true }), { kind: 'anonymous' })
    assert.equal(identifyCaller(table, key, { isOpen: false }), { kind: 'unknown' })
  }
})

test('without a list of organisations callers need no key; with an empty list every caller is unknown', () => {
  assert.equal(identifyCaller(new OrganisationTable(undefined), 'k1', { isOpen: false }), { kind: 'unchecked' })
  assert.equal(identifyCaller(new OrganisationTable([]), 'k1', { isOpen: false }), { kind: 'unknown' })
})

test('the rank of the organisation takes precedence over that of the route', () => {
  const ranks = [[clinic, 0], [clinic, 1], [school, 0], [school, 1]] as const
  const patience = ranks.map(([organisation, route]) => table.computeRelativePriority(organisation, route))
  assert.equal(patience, [0, 0.5, 0.5, 1])
  assert.is(table.computeRelativePriority(undefined, 0.3), 0.3)
})

test('the regions of route and organisation both bind', () => {
  assert.equal(findCommonRegions([], []), [])
  assert.equal(findCommonRegions(['a', 'b'], []), ['a', 'b'])
  assert.equal(findCommonRegions([], ['b']), ['b'])
  assert.equal(findCommonRegions(['a', 'b'], ['b', 'c']), ['b'])
  assert.is(findCommonRegions(['a'], ['b']), undefined)
})

test.run()
