import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseOwners } from '../chooseOwners.js'
import { defaultLimitsOptions } from '../defaultLimitsOptions.js'
import { PartClaims } from '../partClaims.js'
import { PartUser } from '../partUser.js'
import type { RosterHost } from '../rosterHost.js'

const WAIT_MS = 1_000
const HOSTS = ['a', 'b', 'c'].map((name) => ({ name, incarnation: 1 }))
const KEY = 's/t1'
const PART = { id: 'floor/s/t1', key: KEY, rank: 0, waitMs: WAIT_MS }

class FakeUser extends PartUser {
  busy = false

  tryHandOver (): [] | undefined {
    return this.busy ? undefined : []
  }

  isOnlyGrantee (): boolean {
    return false
  }

  acceptPart (): void {}
}

function makeRoster (version: number, hosts: RosterHost[]) {
  return { version, availabilityZone: 'akl-a', hosts }
}

function createClaims (self: RosterHost, user = new FakeUser()): PartClaims {
  const claims = new PartClaims(self, defaultLimitsOptions)
  claims.addPart(PART, user)
  return claims
}

function askAll (asker: PartClaims, self: RosterHost, answerer: PartClaims, now: number, only?: string): void {
  for (const { host, claim } of asker.planClaims(now)) {
    if (only === undefined || host === only) asker.acceptAnswer(claim, answerer.handleClaim(self, claim, now), now)
  }
}

/** Splits the hosts into the owner of the part with all three in the roster, the owner without that host, and the third host. */
function splitHosts (): { joining: RosterHost, former: RosterHost, third: RosterHost } {
  const joining = chooseOwners(KEY, { hosts: HOSTS }).owner!
  const others = HOSTS.filter((host) => host !== joining)
  const former = chooseOwners(KEY, { hosts: others }).owner!
  return { joining, former, third: others.find((host) => host !== former)! }
}

test('a former owner uses a part until every other member has cleared the new one', () => {
  // A host joins and ranks first for a target, while the third member is frozen and can't answer. If the former
  // owner handed the part over at once, no host could use the target until the third member resumes.
  const { joining, former, third } = splitHosts()
  const user = new FakeUser()
  const holder = createClaims(former, user)
  holder.adoptRoster(makeRoster(1, [former]), 0)
  holder.advance(0)
  assert.ok(holder.isUsable(PART.id))
  const next = makeRoster(2, HOSTS)
  const claimer = createClaims(joining)
  const frozen = createClaims(third)
  for (const claims of [holder, claimer, frozen]) claims.adoptRoster(next, 10)
  askAll(claimer, joining, holder, 20, former.name)
  assert.ok(holder.isUsable(PART.id))
  askAll(claimer, joining, frozen, 30, third.name)
  user.busy = true
  askAll(claimer, joining, holder, 40, former.name)
  assert.is(holder.isUsable(PART.id), false, 'no new work from here')
  assert.is(claimer.isHeld(PART.id), false, 'work still runs')
  user.busy = false
  askAll(claimer, joining, holder, 50, former.name)
  assert.ok(claimer.isUsable(PART.id))
  assert.is(holder.isHeld(PART.id), false)
})

test('a host waits for the work of lost hosts that it never knew, unless the zone has lost none', () => {
  for (const [lastLossVersion, takesAtOnce] of [[0, true], [2, false], [undefined, false]] as const) {
    const { joining, former } = splitHosts()
    const claimer = createClaims(joining)
    const other = createClaims(former)
    const roster = { ...makeRoster(2, [former, joining]), ...(lastLossVersion === undefined ? {} : { lastLossVersion }) }
    claimer.adoptRoster(roster, 0)
    other.adoptRoster(roster, 0)
    askAll(claimer, joining, other, 10)
    assert.is(claimer.isHeld(PART.id), takesAtOnce)
    claimer.advance(3 * WAIT_MS)
    assert.ok(claimer.isHeld(PART.id))
  }
})

test('a restarted host does not answer for its former incarnation', () => {
  // Found by the simulation (trial with seed 1001877): a host joins, and the owner of a target is killed and restarts
  // before the joining host is informed. The new process answers correctly that it holds nothing. If that counted as
  // the former incarnation's answer, the joining host would send to a target on which the killed process's requests still run.
  const { joining, former } = splitHosts()
  const claimer = createClaims(joining)
  const restarted = createClaims({ ...former, incarnation: 2 })
  const roster = makeRoster(2, [former, joining])
  claimer.adoptRoster(roster, 0)
  restarted.adoptRoster(roster, 0)
  askAll(claimer, joining, restarted, 5 * WAIT_MS)
  assert.is(claimer.isHeld(PART.id), false)
  claimer.markGone(former, 6 * WAIT_MS)
  claimer.advance(6 * WAIT_MS)
  assert.is(claimer.isHeld(PART.id), false, 'the requests of the killed process may still run')
  claimer.advance(8 * WAIT_MS)
  assert.ok(claimer.isHeld(PART.id))
})

test('an answer given at an earlier view is dropped', () => {
  // The third member answers that it holds nothing, and its answer is delayed. Meanwhile the roster changes twice,
  // and the third member takes the part. If the old answer counted now, two hosts would hold the part.
  const { joining, former, third } = splitHosts()
  const claimer = createClaims(joining)
  const other = createClaims(third)
  const roster = makeRoster(1, [joining, third])
  claimer.adoptRoster(roster, 0)
  other.adoptRoster(roster, 0)
  const [late] = claimer.planClaims(0)
  const answer = other.handleClaim(joining, late!.claim, 0)
  claimer.adoptRoster(makeRoster(2, [joining, third, former]), 10)
  claimer.acceptAnswer(late!.claim, answer, 20)
  claimer.advance(5 * WAIT_MS)
  assert.is(claimer.isHeld(PART.id), false)
})

test.run()
