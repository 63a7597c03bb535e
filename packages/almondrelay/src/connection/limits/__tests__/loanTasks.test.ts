import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LoanRegion } from '../__fixtures__/loanRegion.js'

const LIMIT = 16
const FLOOR = 4
const HOST_NAMES = ['wlg-a-1', 'wlg-b-1'] as const
/** A new lender's waiting time (a loan's term of 9 s and a deadline of 1 s), the term of the platform lease, and two rounds. */
const LENDER_START_MS = 30_000

async function startRegion (): Promise<LoanRegion> {
  const region = new LoanRegion(LIMIT)
  await region.advance(LENDER_START_MS)
  return region
}

function stopRegion (region: LoanRegion): void {
  HOST_NAMES.forEach((name) => region.kill(name))
}

test('zones that both want all share the limit evenly and use the whole of it', async () => {
  const region = await startRegion()
  assert.equal(HOST_NAMES.map((name) => region.countAdmitted(name)), [LIMIT / 2, LIMIT / 2])
  stopRegion(region)
})

test('the first lender that a region ever has lends at once', async () => {
  const region = new LoanRegion(LIMIT)
  await region.advance(2_000)
  assert.is(HOST_NAMES.reduce((sum, name) => sum + region.countAdmitted(name), 0), LIMIT)
  stopRegion(region)
})

test('a lender’s key that no lease holds is given up and taken again', async () => {
  // The write of the key is delayed and takes effect only after its lease has expired. The key then names a host that
  // has no lease to renew, and no other host may take the key, so no host would ever lend again.
  const region = new LoanRegion(LIMIT)
  await region.platform.put('lenders/wlg', JSON.stringify({ name: HOST_NAMES[0], incarnation: 1 }), 0, new AbortController().signal)
  await region.advance(LENDER_START_MS)
  assert.is(HOST_NAMES.reduce((sum, name) => sum + region.countAdmitted(name), 0), LIMIT)
  stopRegion(region)
})

test('in a platform outage loans lapse and floors stay, and loans come back after it', async () => {
  // The platform is down for a minute. The region's lender can't renew its authority, and a host of another zone may
  // become lender as soon as the platform is back. If the former one went on lending, capacity would be lent twice.
  const region = await startRegion()
  region.platform.faults.outage = true
  await region.advance(60_000)
  assert.equal(HOST_NAMES.map((name) => region.countAdmitted(name)), [FLOOR, FLOOR])
  region.platform.faults.outage = false
  await region.advance(40_000)
  assert.equal(HOST_NAMES.map((name) => region.countAdmitted(name)), [LIMIT / 2, LIMIT / 2])
  stopRegion(region)
})

test('when the lender dies another host lends, after the dead one’s loans are over', async () => {
  const region = await startRegion()
  const lender = HOST_NAMES.find((name) => region.hosts.get(name)!.lenderElection.find() === name)!
  const other = HOST_NAMES.find((name) => name !== lender)!
  region.kill(lender)
  await region.advance(10_000)
  assert.is(region.countAdmitted(other), FLOOR)
  await region.advance(LENDER_START_MS)
  assert.is(region.countAdmitted(other), FLOOR + LIMIT / 2)
  stopRegion(region)
})

test.run()
