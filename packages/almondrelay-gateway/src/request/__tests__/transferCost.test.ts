import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { TransferCost } from '../transferCost.js'

const test = suite('TransferCost')
const OWN = { availabilityZone: 'akl-a', region: 'akl' }
const PRICES = { availabilityZoneMsPerMegabyte: 500, regionMsPerMegabyte: 800 }
const REPORT_BYTES = 90_000

test('an answer costs by its size and by what it crosses', () => {
  const cost = new TransferCost(OWN, PRICES)
  cost.learn('reports', REPORT_BYTES)
  assert.is(cost.estimate('reports', OWN), 0)
  assert.is(cost.estimate('reports', { availabilityZone: 'akl-b', region: 'akl' }), 45)
  assert.is(cost.estimate('reports', { availabilityZone: 'wlg-a', region: 'wlg' }), 72)
  assert.is(cost.estimate('unknown', { availabilityZone: 'wlg-a', region: 'wlg' }), 0)
})

test('only routes with large answers have places in each zone, and a price of nothing leaves all as one', () => {
  const cost = new TransferCost(OWN, PRICES)
  const free = new TransferCost(OWN, { availabilityZoneMsPerMegabyte: 0, regionMsPerMegabyte: 0 })
  for (const each of [cost, free]) {
    each.learn('reports', REPORT_BYTES)
    each.learn('look-ups', 400)
  }
  assert.ok(cost.isLocal('reports'))
  assert.not(cost.isLocal('look-ups'))
  assert.not(cost.isLocal('unknown'))
  assert.not(free.isLocal('reports'))
})

test('the size follows the answers of about the last ten', () => {
  const cost = new TransferCost(OWN, PRICES)
  cost.learn('reports', REPORT_BYTES)
  for (let answer = 0; answer < 30; answer += 1) cost.learn('reports', 400)
  assert.not(cost.isLocal('reports'))
})

test.run()
