import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createSeededRandom } from 'almondrelay'
import { CarrierSilence } from '../carrierSilence.js'

const test = suite('hosts that acknowledge no calls')
const MIN_MS = 100
const PROBE_MS = 2_000

/** Calls a host from 0 ms on, at a steady rate; the host acknowledges each call after a time, or never. Returns the calls that were given up. */
const callHost = (silence: CarrierSilence, calls: number, gapMs: number, drawMs: () => number): number => {
  const events: Array<{ at: number, run: () => void }> = []
  let givenUp = 0
  for (let index = 0; index < calls; index += 1) {
    const calledAt = index * gapMs
    events.push({
      at: calledAt,
      run: () => {
        if (silence.isSilent('a', calledAt)) return
        const ackMs = drawMs()
        const timeoutMs = silence.computeTimeout('a', MIN_MS, false)
        const at = calledAt + Math.min(ackMs, timeoutMs)
        events.push({
          at,
          run: () => {
            if (ackMs <= timeoutMs) {
              silence.observeAcknowledgement('a', calledAt, at)
              return
            }
            givenUp += 1
            if (!silence.observeUnacknowledged('a', calledAt, at)) return
            const probeMs = drawMs()
            if (probeMs <= PROBE_MS) events.push({ at: at + probeMs, run: () => { silence.observeAcknowledgement('a', at, at + probeMs) } })
          }
        })
      }
    })
  }
  while (events.length > 0) {
    events.sort((one, other) => one.at - other.at)
    events.shift()?.run()
  }
  return givenUp
}

// Guards against attempts that are given to a stopped host for as long as it is stopped.
test('at sixteen calls a second a stopped host gets those of its first 100 ms only', () => {
  const silence = new CarrierSilence()
  silence.observeAcknowledgement('a', -10, -8)
  assert.is(callHost(silence, 20, 60, () => Infinity), 2)
})

// Guards against a slow host that is taken for a stopped one again and again.
test('a host that acknowledges after 300 ms is given up a few times, and then waited for', () => {
  const random = createSeededRandom(1)
  assert.ok(callHost(new CarrierSilence(), 400, 50, () => 280 + 40 * random()) <= 3)
})

test('a host whose usual time is 5 ms and that stalls for 80 ms is not given up', () => {
  const random = createSeededRandom(2)
  assert.is(callHost(new CarrierSilence(), 2_000, 25, () => random() < 0.1 ? 80 : 5), 0)
})

// Guards against a host that counts as silent for one lost call although it runs.
test('a call that is given up says nothing if one begun later was acknowledged', () => {
  const silence = new CarrierSilence()
  silence.observeAcknowledgement('a', 50, 60)
  assert.not(silence.observeUnacknowledged('a', 0, 100))
  assert.not(silence.isSilent('a', 100))
  assert.ok(silence.observeUnacknowledged('a', 70, 170))
  assert.ok(silence.isSilent('a', 170))
})

// Guards against a host that gets no attempts after it has resumed, and against long waits for it from then on.
test('a host is used again at once when it acknowledges a probe, and its long silence does not count as its usual time', () => {
  const silence = new CarrierSilence()
  for (let at = 0; at < 1_000; at += 50) silence.observeAcknowledgement('a', at, at + 2)
  assert.ok(silence.observeUnacknowledged('a', 1_000, 1_100))
  assert.not(silence.observeUnacknowledged('a', 1_100, 3_100))
  assert.ok(silence.isSilent('a', 4_000))
  assert.ok(silence.observeAcknowledgement('a', 3_100, 4_500))
  assert.not(silence.isSilent('a', 4_500))
  assert.ok(silence.computeTimeout('a', MIN_MS, false) <= 150)
})

test('a silence that no probe confirms lapses, and so does one of a host that has ended', () => {
  const silence = new CarrierSilence()
  silence.observeUnacknowledged('a', 0, 100)
  assert.not(silence.isSilent('a', 3_100))
  silence.observeUnacknowledged('a', 3_100, 3_200)
  silence.drop('a')
  assert.not(silence.isSilent('a', 3_200))
})

test('the last host that is left is waited for longer', () => {
  assert.ok(new CarrierSilence().computeTimeout('a', MIN_MS, true) > MIN_MS)
  assert.is(new CarrierSilence().computeTimeout('a', MIN_MS, false), MIN_MS)
})

test.run()
