import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { TargetSpec } from '../../../version/resources/targetSpec.js'
import { chooseOwners } from '../chooseOwners.js'
import { HostSlots } from '../hostSlots.js'

const MAX_DEADLINE_MS = 10_000

const target: TargetSpec = { name: 't1', address: '127.0.0.1:9', availabilityZone: 'akl-a', slots: 5, connections: 10 }

function makeRoster (version: number, ...names: string[]) {
  return { version, availabilityZone: 'akl-a', hosts: names.map((name) => ({ name, incarnation: 1 })) }
}

function createSlots (host: string): HostSlots {
  const slots = new HostSlots({ host, incarnation: 1, availabilityZone: 'akl-a' })
  slots.adoptTargets('s', [target], MAX_DEADLINE_MS, 0)
  return slots
}

const countFree = (slots: HostSlots, now: number): number => slots.getFree('s', now).get('t1') ?? 0

test('a host owns no slots before it has a roster, and all slots when it is alone in its roster', () => {
  const slots = createSlots('a')
  assert.is(countFree(slots, 0), 0)
  slots.adoptRoster(makeRoster(1, 'a'), 0)
  assert.is(countFree(slots, 0), 5)
})

test('a slot is taken until its release, and refused to a request that may outlast the longest deadline', () => {
  const slots = createSlots('a')
  slots.adoptRoster(makeRoster(1, 'a'), 0)
  assert.is(slots.acquire('s', 't1', 'r1', MAX_DEADLINE_MS + 1, 0), false)
  assert.is(slots.acquire('s', 't1', 'r1', 100, 0), true)
  assert.is(countFree(slots, 1_000), 4)
  slots.release('r1', 1_000)
  slots.release('r1', 1_000)
  assert.is(countFree(slots, 1_000), 5)
})

test('a credit occupies a slot, can be used once, and frees the slot when it is returned or expires', () => {
  const slots = createSlots('a')
  slots.adoptRoster(makeRoster(1, 'a'), 0)
  const credits = slots.grantCredits('s', 'wlg-a-1', 10, 0)
  assert.is(credits.length, 4, 'one of five slots is kept for own callers')
  assert.is(countFree(slots, 0), 1)
  assert.equal(slots.useCredit(credits[0]!.id, 'r1', 500, 10), { service: 's', target: 't1' })
  assert.is(slots.useCredit(credits[0]!.id, 'r2', 500, 10), undefined)
  slots.returnCredits([credits[1]!.id], 20)
  assert.is(countFree(slots, 20), 2)
  assert.is(slots.useCredit(credits[2]!.id, 'r3', 2_000, 1_000), undefined)
  assert.is(countFree(slots, 1_000), 4)
})

test('with two hosts the owner uses its floor without a lease, and the rest on a lease from its standby', () => {
  const roster = makeRoster(1, 'a', 'b')
  const { owner, standby } = chooseOwners('s/t1', roster)
  const holder = createSlots(owner!.name)
  const grantor = createSlots(standby!.name)
  for (const [slots, peer] of [[holder, grantor], [grantor, holder]] as const) {
    slots.adoptRoster(roster, 0)
    peer.adoptRoster(roster, 0)
    const self = slots === holder ? owner! : standby!
    for (const { claim } of slots.claims.planClaims(0)) slots.claims.acceptAnswer(claim, peer.claims.handleClaim(self, claim, 0), 0)
  }
  assert.is(countFree(holder, 0), 3)
  const [request] = holder.planRenewals(0)
  holder.acceptGrant(request!, grantor.grantLeases(owner!, request!.leases, 50).granted)
  assert.is(countFree(holder, 100), 5)
  assert.is(countFree(holder, 3_000), 3, 'the term counts from the sending')
  assert.is(countFree(grantor, 3_000), 0)
})

test.run()
