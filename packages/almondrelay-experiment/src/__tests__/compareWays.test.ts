import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { compareWays } from '../compareWays.js'
import { formatComparison } from '../formatComparison.js'
import { EventQueue } from '../model/eventQueue.js'
import { ModelTarget } from '../model/modelTarget.js'
import { renderPlot } from '../renderPlot.js'
import type { WayComparison } from '../wayComparison.js'

const test = suite('experiment')
const SEEDS = 3
const find = (comparisons: readonly WayComparison[], name: string): WayComparison => comparisons.find((each) => each.name === name) as WayComparison

// Callers ask for the same objects again and again. Sent anywhere, each target works on every object anew, and the answers
// are late though the load is small: measured days say so too.
test('a target of its own for each key is worth more than any target', () => {
  const comparisons = compareWays({ pattern: 'restart', names: ['random', 'plain'], seeds: SEEDS })
  const plain = find(comparisons, 'plain')
  assert.ok(plain.difference - plain.halfWidth > 0, formatComparison(comparisons))
})

// A region has a third of the callers and a seventh of the targets. Its queues grow while others stand by.
test('the product is worth more than the baseline where a region has too few targets', () => {
  const comparisons = compareWays({ pattern: 'restart', names: ['plain', 'own-region', 'product'], seeds: SEEDS })
  assert.ok(find(comparisons, 'product').worth > find(comparisons, 'plain').worth, formatComparison(comparisons))
  assert.ok(find(comparisons, 'product').worth > find(comparisons, 'own-region').worth, formatComparison(comparisons))
})

// More comes in than targets can do. With queues as long as targets allow, every answer is late.
test('under overload a bounded queue answers more in time', () => {
  const comparisons = compareWays({ pattern: 'overload', names: ['no-queue-bound', 'product'], seeds: SEEDS })
  assert.ok(find(comparisons, 'product').inTime > find(comparisons, 'no-queue-bound').inTime, formatComparison(comparisons))
})

test('a run repeats: the same seeds give the same figures', () => {
  const run = (): WayComparison[] => compareWays({ pattern: 'hotKey', names: ['product'], seeds: 2 })
  assert.equal(run(), run())
})

test('a way that does not exist is refused with those that do', () => {
  assert.throws(() => compareWays({ pattern: 'restart', names: ['best'], seeds: 2 }), /no way 'best': use random, plain/)
})

test('a target works on what it remembers faster, forgets the oldest, and refuses beyond its queue', () => {
  const events = new EventQueue()
  const target = new ModelTarget({ id: 't', region: 'r', slots: 1, queue: 1, remembers: 1, warmGain: 0.5 }, events)
  const ended: string[] = []
  const accept = (key: number): void => { target.accept({ key, workMs: 100, deadline: 10_000, finish: (hasRun, wasWarm) => { ended.push(`${key} ${hasRun} ${wasWarm} ${events.now}`) } }) }
  for (const key of [1, 1, 1]) accept(key)
  events.runUntil(1_000)
  assert.equal(ended, ['1 false false 0', '1 true false 100', '1 true true 150'])
  accept(2)
  events.runUntil(2_000)
  accept(1)
  events.runUntil(3_000)
  assert.is(ended.at(-1), '1 true false 2100')
})

test('a plot names each way', () => {
  const plot = renderPlot('title', [{ name: 'plain', worth: 0.5, inTime: 0, late: 0, refused: 0, failed: 0, difference: 0, halfWidth: 0 }])
  assert.match(plot, /<svg[^]*plain[^]*0\.500[^]*<\/svg>/)
})

test.run()
