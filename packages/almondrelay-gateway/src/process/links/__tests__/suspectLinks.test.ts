import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import type { TargetState } from '../../../request/targetState.js'
import { SuspectLinks } from '../suspectLinks.js'

const test = suite('links that are suspect once another one is lost')
const LOOK_INTERVAL_MS = 90
const CONNECT_TIMEOUT_MS = 304

const makeTargets = (count: number): TargetState[] => Array.from({ length: count }, (_, index) => makeTarget({ id: `i-${index}` }))

interface SearchResult {
  found: ReadonlySet<TargetState>
  probes: number
  durationMs: number
}

/** Plays the search after the first of some lost links was found at 1,000 ms, and the last target has answered just then; probes of lost links take a connect timeout, others succeed. */
const simulateSearch = (targets: readonly TargetState[], lost: ReadonlySet<TargetState>): SearchResult => {
  const suspects = new SuspectLinks()
  const startedAt = 1_000
  const found = new Set([...lost].slice(0, 1))
  const pending: Array<{ at: number, target: TargetState }> = []
  let probes = 0
  let lastFoundAt = startedAt
  suspects.observeLoss(startedAt)
  targets.at(-1)?.observeContact(startedAt + 1)
  for (let now = startedAt; now < startedAt + 6_000; now += LOOK_INTERVAL_MS) {
    for (const { at, target } of pending.filter((each) => each.at <= now && !found.has(each.target))) {
      found.add(target)
      lastFoundAt = at
      suspects.observeLoss(now)
    }
    for (const target of suspects.takeProbes(() => targets.filter((each) => !found.has(each)), now)) {
      probes += 1
      if (lost.has(target)) pending.push({ at: now + CONNECT_TIMEOUT_MS, target })
      else target.observeContact(now)
    }
  }
  return { found, probes, durationMs: lastFoundAt - startedAt }
}

// Guards against links that are found one by one, each after requests have hung, because other targets of their zones answer (seed 118 of the model).
test('all of seven lost links among twelve are found soon after the first', () => {
  const targets = makeTargets(12)
  for (const target of targets) target.observeContact(500)
  const lost = new Set(targets.filter((_, index) => index % 5 < 3).slice(0, 7))
  const { found, durationMs } = simulateSearch(targets, lost)
  assert.is(found.size, 7)
  assert.ok(durationMs <= 3 * (CONNECT_TIMEOUT_MS + LOOK_INTERVAL_MS))
})

// Guards against a connection to each of hundreds of targets from each host, because a single link is lost.
test('one lost link among 230 costs four probes', () => {
  const targets = makeTargets(230)
  for (const target of targets) target.observeContact(500)
  assert.is(simulateSearch(targets, new Set(targets.slice(0, 1))).probes, 4)
})

test('targets that answered since, and those probed a moment ago, are not probed', () => {
  const suspects = new SuspectLinks()
  const [answered, silent] = makeTargets(2) as [TargetState, TargetState]
  suspects.observeLoss(1_000)
  answered.observeContact(1_010)
  assert.equal(suspects.takeProbes(() => [answered, silent], 1_020), [silent])
  assert.equal(suspects.takeProbes(() => [answered, silent], 1_110), [])
  assert.equal(suspects.takeProbes(() => [answered, silent], 1_600), [silent])
})

test('targets with running requests are probed first, and those that were never used last', () => {
  const suspects = new SuspectLinks()
  const [unused, idle, older, busy, oldest, answered] = makeTargets(6) as [TargetState, TargetState, TargetState, TargetState, TargetState, TargetState]
  for (const [target, at] of [[idle, 900], [older, 800], [oldest, 100], [busy, 950]] as const) target.observeContact(at)
  busy.inFlight = 1
  suspects.observeLoss(1_000)
  answered.observeContact(1_010)
  assert.equal(suspects.takeProbes(() => [unused, idle, older, busy, oldest, answered], 1_020).map(({ entry }) => entry.id), [busy, oldest, older, idle].map(({ entry }) => entry.id))
})

// Guards against probes of all targets in a cut of all links, which the link table infers from three of them.
test('targets of a zone without any contact are not probed', () => {
  const suspects = new SuspectLinks()
  suspects.observeLoss(1_000)
  const other = makeTarget({ id: 'i-9', availabilityZone: 'akl-b' })
  other.observeContact(1_010)
  assert.equal(suspects.takeProbes(() => [...makeTargets(2), other], 1_020), [])
})

test('nothing is probed without a loss, nor long after one', () => {
  const suspects = new SuspectLinks()
  assert.equal(suspects.takeProbes(() => makeTargets(2), 1_000), [])
  const [silent, answered] = makeTargets(2) as [TargetState, TargetState]
  suspects.observeLoss(1_000)
  answered.observeContact(1_010)
  assert.equal(suspects.takeProbes(() => [silent, answered], 2_100), [])
})

test.run()
