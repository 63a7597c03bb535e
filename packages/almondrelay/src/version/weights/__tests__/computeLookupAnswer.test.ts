import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSeededRandom } from '../../../request/createSeededRandom.js'
import { computeLookupAnswer } from '../computeLookupAnswer.js'
import type { HostView } from '../hostView.js'
import type { LookupAnswer } from '../lookupAnswer.js'

const TTL_MS = 2_000
const makeHost = (name: string, freeSlots: number, parts: Partial<HostView> = {}): HostView =>
  ({ name, region: 'akl', freeSlots, slots: 18, ageMs: 0, leaving: false, reachable: true, ...parts })
const getWeight = (answer: LookupAnswer, name: string): number => answer.hosts.find(({ host }) => host === name)?.weight ?? 0

test('weights change by bounded steps, leaving hosts are removed immediately, times to live are spread', () => {
  const random = createSeededRandom(1)
  const hosts = ['a', 'b', 'c'].map((name) => makeHost(name, 18))
  const first = computeLookupAnswer({ hosts, ttlMs: TTL_MS }, undefined, 0, random)
  const full = [makeHost('a', 0), makeHost('b', 18), makeHost('c', 18)]
  const next = computeLookupAnswer({ hosts: full, ttlMs: TTL_MS }, first, TTL_MS, random)
  assert.ok(getWeight(next, 'a') >= 1 / 3 * 0.7 && getWeight(next, 'a') < 1 / 3)
  assert.equal(getWeight(computeLookupAnswer({ hosts: full, ttlMs: TTL_MS }, first, 0, random), 'a').toFixed(6), (1 / 3).toFixed(6))
  const left = computeLookupAnswer({ hosts: [makeHost('a', 18, { leaving: true }), makeHost('b', 18, { reachable: false }), makeHost('c', 18)], ttlMs: TTL_MS }, first, 1, random)
  assert.equal(left.hosts, [{ host: 'c', weight: 1 }])
  const ttls = Array.from({ length: 100 }, () => computeLookupAnswer({ hosts, ttlMs: TTL_MS }, first, 0, random).ttlMs)
  assert.ok(Math.min(...ttls) < 1_600 && Math.max(...ttls) > 2_400)
})

test('load that follows cached and lagging answers does not oscillate', () => {
  // Two hosts; callers cache the answer for 2 s and the reports of free slots are 1 s old. Weights
  // that followed the reports immediately would send all callers to the host that was free, and back.
  const random = createSeededRandom(2)
  const simulateSwing = (isBounded: boolean): number => {
    let answer: LookupAnswer | undefined
    let reported = [15, 5]
    let widest = 0
    for (let now = 0; now < 120_000; now += TTL_MS) {
      const hosts = [makeHost('a', 18 - (reported[0] ?? 0), { ageMs: 1_000 }), makeHost('b', 18 - (reported[1] ?? 0), { ageMs: 1_000 })]
      answer = computeLookupAnswer({ hosts, ttlMs: TTL_MS }, isBounded ? answer : undefined, now, random)
      const plain = hosts.map(({ freeSlots }) => freeSlots / Math.max(1, hosts[0]!.freeSlots + hosts[1]!.freeSlots))
      const share = isBounded ? getWeight(answer, 'a') : plain[0] ?? 0
      reported = [Math.min(18, 20 * share), Math.min(18, 20 * (1 - share))]
      if (now > 30_000) widest = Math.max(widest, Math.abs(share - 0.5))
    }
    return widest
  }
  const ours = simulateSwing(true)
  const plain = simulateSwing(false)
  console.log(`share off the middle after 30 s: ours ${ours.toFixed(3)}, weights that follow at once ${plain.toFixed(3)}`)
  assert.ok(ours < 0.1)
})

test.run()
