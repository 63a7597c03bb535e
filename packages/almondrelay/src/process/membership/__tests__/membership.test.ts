import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { testMembership } from '../__fixtures__/testMembership.js'
import type { Membership } from '../membership.js'
import type { MembershipEvent } from '../membershipEvent.js'
import type { Summary } from '../summary.js'

const { INCARNATION, makeSummary, createMembership } = testMembership

const receiveHeartbeat = (membership: Membership, summary: Summary, now: number): string => membership.observeHeartbeat(summary, summary, now)

function collectGone (membership: Membership): MembershipEvent[] {
  const gone: MembershipEvent[] = []
  membership.subscribe((event) => { if (event.kind === 'gone') gone.push(event) })
  return gone
}

test('a neighbour is suspected after a second without a heartbeat, and live again after the next one', () => {
  const membership = createMembership('akl-a-1')
  receiveHeartbeat(membership, makeSummary('akl-a-2'), 0)
  membership.planNeighbours(0)
  assert.is(membership.getMember('akl-a-2', 1_000)?.state, 'live')
  assert.is(membership.getMember('akl-a-2', 1_100)?.state, 'suspected')
  assert.equal(membership.chooseWatchers('akl-a', 1_100), ['akl-a-1'])
  receiveHeartbeat(membership, makeSummary('akl-a-2'), 1_200)
  assert.is(membership.getMember('akl-a-2', 1_200)?.state, 'live')
})

test('a refused connection is evidence against the incarnation that gave the address, and against no other', () => {
  const membership = createMembership('akl-a-1')
  const gone = collectGone(membership)
  const summary = makeSummary('akl-a-2')
  receiveHeartbeat(membership, summary, 0)
  membership.observeRefused('akl-a-2', INCARNATION, '10.0.0.9:1', 10)
  membership.observeRefused('akl-a-2', INCARNATION - 1, summary.peerAddress, 10)
  assert.equal(gone, [])
  membership.observeRefused('akl-a-2', INCARNATION, summary.peerAddress, 10)
  assert.equal(gone, [{ kind: 'gone', host: 'akl-a-2', incarnation: INCARNATION, evidence: 'refused' }])
  assert.is(membership.getMember('akl-a-2', 10)?.state, 'gone')
})

// A connection attempt to a process that has exited is refused after a report from its replacement has arrived.
// If the refusal counted against the new incarnation, resources that it holds would be freed.
test('a refusal of the old incarnation after a heartbeat of the new one does not make the new one gone', () => {
  const membership = createMembership('akl-a-1')
  receiveHeartbeat(membership, makeSummary('akl-a-2'), 0)
  const gone = collectGone(membership)
  receiveHeartbeat(membership, makeSummary('akl-a-2', { incarnation: INCARNATION + 1 }), 100)
  membership.observeRefused('akl-a-2', INCARNATION, makeSummary('akl-a-2').peerAddress, 110)
  assert.equal(gone, [{ kind: 'gone', host: 'akl-a-2', incarnation: INCARNATION, evidence: 'newer-incarnation' }])
  assert.is(membership.getMember('akl-a-2', 110)?.state, 'live')
})

test('an incarnation that announced that it left is gone, and one that leaves takes no new work', () => {
  const membership = createMembership('akl-a-1')
  const gone = collectGone(membership)
  receiveHeartbeat(membership, makeSummary('akl-a-2', { isLeaving: true }), 0)
  assert.is(membership.getMember('akl-a-2', 0)?.state, 'leaving')
  receiveHeartbeat(membership, makeSummary('akl-a-2', { isGone: true }), 10)
  assert.is(gone.length, 1)
})

// Two processes are started with one name by mistake, or a paused process resumes after it was replaced.
// Callers would be sent to one and answered by the other, so only the newest incarnation is accepted.
test('a heartbeat from a sender with a false identity is refused', () => {
  const membership = createMembership('akl-a-1')
  receiveHeartbeat(membership, makeSummary('akl-a-2'), 0)
  assert.is(receiveHeartbeat(membership, makeSummary('akl-a-2', { peerAddress: '10.0.0.9:1' }), 10), 'name-taken')
  assert.is(receiveHeartbeat(membership, makeSummary('akl-a-2', { availabilityZone: 'akl-b' }), 10), 'name-taken')
  assert.is(receiveHeartbeat(membership, makeSummary('akl-a-1', { incarnation: INCARNATION + 1 }), 10), 'name-taken')
  assert.is(receiveHeartbeat(membership, makeSummary('akl-a-2', { incarnation: INCARNATION - 1 }), 10), 'stale-incarnation')
  membership.observeRefused('akl-a-2', INCARNATION, makeSummary('akl-a-2').peerAddress, 20)
  assert.is(receiveHeartbeat(membership, makeSummary('akl-a-2'), 30), 'declared-gone')
  assert.is(receiveHeartbeat(membership, makeSummary('akl-a-2', { incarnation: INCARNATION + 1 }), 40), 'accepted')
})

test('the host list adds hosts and stops new work, and removes no host', () => {
  const membership = createMembership('akl-a-1')
  receiveHeartbeat(membership, makeSummary('akl-a-2'), 0)
  membership.observeListed({ ...makeSummary('akl-a-3'), isLeaving: false }, 0)
  membership.observeListed({ ...makeSummary('akl-a-2'), isLeaving: true }, 0)
  assert.is(membership.getMember('akl-a-2', 0)?.state, 'leaving')
  assert.is(membership.getMember('akl-a-3', 0)?.state, 'unheard')
  assert.ok(membership.planNeighbours(0).some((neighbour) => neighbour.host === 'akl-a-3'))
})

test('a report that a host is gone is not undone by older reports of it', () => {
  const membership = createMembership('akl-a-1')
  membership.observeSummary(makeSummary('akl-a-2', { isGone: true, ageMs: 500 }), 1_000)
  membership.observeSummary(makeSummary('akl-a-2', { ageMs: 100 }), 1_000)
  membership.observeSummary(makeSummary('akl-a-2', { incarnation: INCARNATION - 5 }), 1_000)
  assert.is(membership.getMember('akl-a-2', 1_000)?.state, 'gone')
})

// One host can't reach another that all its peers can reach, or it could not earlier and is no longer its neighbour.
// If it kept reporting the host as silent together with the peers' newest report, a live host would stay suspected
// permanently (found by fleetFaults.test.ts, seed 15).
test('a host of which peers receive reports is not reported as silent', () => {
  const membership = createMembership('akl-a-1')
  receiveHeartbeat(membership, makeSummary('akl-a-2'), 0)
  membership.planNeighbours(0)
  membership.advance(1_200)
  assert.is(membership.getSummary('akl-a-2', 1_200)?.isSilent, true)
  membership.observeSummary(makeSummary('akl-a-2', { ageMs: 100 }), 1_500)
  assert.is(membership.getMember('akl-a-2', 1_500)?.state, 'suspected')
  assert.is(membership.getSummary('akl-a-2', 1_500)?.isSilent, false)
  membership.advance(1_600)
  assert.is(membership.getSummary('akl-a-2', 1_600)?.isSilent, false)
})

// A process is slow: its heartbeats arrive late, out of order, or through peers with any age, and calls to it
// time out. In any order of these, the process must never be declared gone without evidence.
test('no order of late, lost and repeated reports makes a host gone without evidence (seed 11)', () => {
  const step = fc.record({
    kind: fc.constantFrom('heartbeat', 'silence', 'summary', 'advance', 'plan'),
    host: fc.constantFrom('akl-a-2', 'akl-a-3', 'akl-b-1'),
    ageMs: fc.integer({ min: 0, max: 20_000 }),
    isSilent: fc.boolean(),
    waitMs: fc.integer({ min: 0, max: 5_000 })
  })
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const membership = createMembership('akl-a-1')
    const gone = collectGone(membership)
    let now = 0
    for (const { kind, host, ageMs, isSilent, waitMs } of steps) {
      now += waitMs
      if (kind === 'heartbeat') assert.is(receiveHeartbeat(membership, makeSummary(host), now), 'accepted')
      if (kind === 'silence') membership.observeSilence(host, now)
      if (kind === 'summary') membership.observeSummary(makeSummary(host, { ageMs, isSilent }), now)
      if (kind === 'advance') membership.advance(now)
      if (kind === 'plan') membership.planNeighbours(now)
      assert.ok(membership.listMembers(now).every((member) => member.state !== 'gone'))
    }
    assert.equal(gone, [])
  }), { seed: 11, numRuns: 300 })
})

test.run()
