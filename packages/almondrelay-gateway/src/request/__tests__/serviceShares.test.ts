import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { ModelOptions } from '../__fixtures__/modelOptions.js'
import { OverloadModel } from '../__fixtures__/overloadModel.js'
import { overloadPatterns } from '../__fixtures__/overloadPatterns.js'
import { computeShareFraction } from '../computeShareFraction.js'
import { ServiceShares } from '../serviceShares.js'
import type { WorkSums } from '../workSums.js'

const test = suite('ServiceShares')
const SECONDS = 20
const SEED = 1

const runModel = (pattern: string, way: ModelOptions['way'], changes: Partial<ModelOptions> = {}): OverloadModel => {
  const options = overloadPatterns[pattern]
  if (options === undefined) throw new Error(`no pattern ${pattern}`)
  return new OverloadModel({ ...options, ...changes, way, seed: SEED, seconds: SECONDS }).run()
}
const computePart = ({ inTime, asked }: { inTime: number, asked: number }): number => inTime / Math.max(1, asked)
/** Returns the part served in time of the organisation than which a tenth of them is worse. */
const findTenth = ({ byOrganisation }: OverloadModel): number => [...byOrganisation.values()].map(computePart).sort((first, second) => first - second)[Math.floor(byOrganisation.size / 10)] ?? 0
const makeSums = (organisations: WorkSums['organisations'], routes: WorkSums['routes'], sentMs: number, turnedAwayPerSecond: number): WorkSums => ({ organisations, routes, sentMs, requestsPerSecond: 100, turnedAwayPerSecond })

test('nothing is refused while a service has room for all', () => {
  assert.is(runModel('calm', 'shares').refusals, 0)
})

// The load of one organisation at seven times its usual, of a burst of one route and of callers that repeat at once.
test('organisations within their shares are served, better than without shares and than by a threshold of priority', () => {
  for (const pattern of ['surge', 'burst', 'repeats']) {
    const tenth = findTenth(runModel(pattern, 'shares'))
    assert.ok(tenth > 0.75, `${pattern}: ${tenth}`)
    assert.ok(tenth > findTenth(runModel(pattern, 'threshold')) + 0.1, pattern)
    assert.ok(tenth > findTenth(runModel(pattern, 'none')) + 0.1, pattern)
  }
})

test('targets stay busy while shares are held', () => {
  for (const pattern of ['surge', 'leavers', 'routes']) assert.ok(runModel(pattern, 'shares').usedShare > 0.88, pattern)
})

test('callers that come back as told find room, and are served more often than those that repeat at once', () => {
  const { told, patient, repeating } = runModel('repeats', 'shares')
  assert.ok(computePart(told) > 0.85, String(computePart(told)))
  assert.ok(computePart(patient) > computePart(repeating) + 0.1)
})

test('the more urgent of two routes is served more, and the other isn\'t starved', () => {
  const { byRoute } = runModel('routes', 'shares')
  const [less, more] = [computePart(byRoute.get(1) ?? { asked: 0, inTime: 0 }), computePart(byRoute.get(2) ?? { asked: 0, inTime: 0 })]
  assert.ok(more > less + 0.05 && less > 0.4, `${more} ${less}`)
})

// Guards against shares that stop the service: snapshots no longer arrive, and the last one stays in force.
test('targets stay busy while no new snapshots arrive', () => {
  assert.ok(runModel('surge', 'shares', { isLinked: (at) => at < 10_000 }).usedShare > 0.85)
})

// Guards against a capacity that falls without end: until the shares are in force requests are still turned away, and each of them
// lowered the capacity once more, down to half of what the targets took.
test('the capacity doesn\'t fall below the work that targets take', () => {
  const shares = new ServiceShares()
  const organisations = new Map([[1, { priority: 0, askedMs: 2_000, admittedMs: 1_900 }], [2, { priority: 0, askedMs: 300, admittedMs: 300 }]])
  for (let at = 0; at < 30_000; at += 500) shares.update(makeSums(organisations, new Map(), 1_000, 30), at)
  assert.ok((shares.update(makeSums(organisations, new Map(), 1_000, 30), 30_000)?.capacityMs ?? 0) >= 1_000)
})

// Guards against a service that stays refused: targets that stop for some seconds take no work, and the work sent follows the capacity down.
test('the capacity doesn\'t fall below half of the most work that targets took during the overload', () => {
  const shares = new ServiceShares()
  const organisations = new Map([[1, { priority: 0, askedMs: 2_000, admittedMs: 900 }], [2, { priority: 0, askedMs: 300, admittedMs: 300 }]])
  for (let at = 0; at < 5_000; at += 500) shares.update(makeSums(organisations, new Map(), at === 4_000 ? 1_200 : 1_000, 30), at)
  const refused = new Map([[1, { priority: 0, askedMs: 2_000, admittedMs: 0 }]])
  for (let at = 5_000; at < 60_000; at += 500) {
    const capacityMs = shares.update(makeSums(refused, new Map(), 0, 90), at)?.capacityMs ?? 0
    assert.ok(capacityMs >= 600, `${at}: ${capacityMs}`)
  }
})

// Guards against a capacity of 0, which no factor raises: all requests would be refused until demand ends.
test('no shares are held until targets have taken work, and then the capacity is what they take', () => {
  const shares = new ServiceShares()
  const organisations = new Map([[1, { priority: 0, askedMs: 2_000, admittedMs: 2_000 }]])
  for (let at = 0; at < 10_000; at += 500) assert.is(shares.update(makeSums(organisations, new Map(), 0, 90), at), undefined)
  assert.ok(shares.isOverloaded)
  for (const [index, sentMs] of [400, 700, 850].entries()) shares.update(makeSums(organisations, new Map(), sentMs, 60), 10_000 + index * 500)
  assert.is(shares.update(makeSums(organisations, new Map(), 1_000, 60), 11_500)?.capacityMs, 1_000)
})

test('a capacity of 0 is not adopted from another host', () => {
  const shares = new ServiceShares()
  const organisations = new Map([[1, { priority: 0, askedMs: 2_000, admittedMs: 0 }]])
  shares.adopt({ capacityMs: 0, marginPriority: 0, shareMs: 0, organisations: new Map([[1, { fraction: 0, askedMs: 2_000 }]]), routes: new Map() })
  assert.is(shares.update(makeSums(organisations, new Map(), 0, 0), 0), undefined)
})

test('the least urgent route of the least urgent organisation has a minimum', () => {
  const shares = new ServiceShares()
  const organisations = new Map([[1, { priority: 0, askedMs: 2_000, admittedMs: 1_000 }], [2, { priority: 1, askedMs: 500, admittedMs: 0 }]])
  const routes = new Map([[8, { priority: 0, askedMs: 1_900, admittedMs: 900 }], [9, { priority: 3, askedMs: 600, admittedMs: 0 }]])
  let snapshot = shares.update(makeSums(organisations, routes, 1_000, 30), 0)
  for (let at = 500; at < 3_000; at += 500) snapshot = shares.update(makeSums(organisations, routes, 1_000, 30), at)
  assert.ok(snapshot !== undefined)
  const fraction = computeShareFraction(snapshot, { organisation: 2, organisationPriority: 1, route: 9, routePriority: 3 })
  assert.ok(fraction > 0.04 && fraction < 0.2, String(fraction))
  assert.ok(fraction * 600 >= 1_000 * 0.05 * 0.9)
})

test.run()
