import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createSeededRandom } from 'almondrelay'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import type { TargetState } from '../../../request/targetState.js'
import { SilenceDetector } from '../silenceDetector.js'

const test = suite('SilenceDetector')
const STEP_MS = 10
const CHECK_MS = 100
const ZONES = ['akl-a', 'akl-b', 'akl-c']

interface DayOptions {
  seed: number
  perSecond: number
  workMs: number
  durationMs: number
  /** Whether answers of a target arrive. */
  isUp: (target: TargetState, now: number) => boolean
}

/** Sends requests at random times to nine targets; returns the times at which targets were to be probed, and these targets. */
const runDay = ({ seed, perSecond, workMs, durationMs, isUp }: DayOptions): Array<{ at: number, target: TargetState }> => {
  const random = createSeededRandom(seed)
  const targets = ZONES.flatMap((availabilityZone) => [0, 1, 2].map((index) => makeTarget({ id: `${availabilityZone}-${index}`, availabilityZone })))
  const detector = new SilenceDetector()
  const running = new Set<{ target: TargetState, until: number, finish: () => void }>()
  const probes: Array<{ at: number, target: TargetState }> = []
  for (let now = 0; now < durationMs; now += STEP_MS) {
    if (random() < perSecond * STEP_MS / 1_000) {
      const target = targets[Math.floor(random() * targets.length)] as TargetState
      running.add({ target, until: now + workMs * (0.5 + random()), finish: detector.addSend(target, now) })
    }
    for (const send of running) {
      if (now < send.until || !isUp(send.target, now)) continue
      running.delete(send)
      send.finish()
      detector.observeAnswer(send.target, now)
    }
    if (now % CHECK_MS === 0) for (const target of detector.listSilentTargets(now)) probes.push({ at: now, target })
  }
  return probes
}

// Guards against requests that hang for seconds on open connections over lost links: nothing but their silence shows that.
test('the silence of all targets is noticed within the time of a few answers', () => {
  for (const { perSecond, workMs } of [{ perSecond: 50, workMs: 300 }, { perSecond: 17, workMs: 1_500 }]) {
    for (let seed = 1; seed <= 20; seed += 1) {
      const cutAt = 5_000
      const [first] = runDay({ seed, perSecond, workMs, durationMs: 8_000, isUp: (_, now) => now < cutAt }).filter(({ at }) => at >= cutAt)
      assert.ok(first !== undefined && first.at - cutAt <= 700, `seed ${seed}, ${perSecond} a second: ${first?.at}`)
    }
  }
})

test('the silence of one zone is noticed while the others answer', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const probes = runDay({ seed, perSecond: 50, workMs: 300, durationMs: 8_000, isUp: ({ entry }, now) => now < 5_000 || entry.availabilityZone !== 'akl-b' })
    const [first] = probes.filter(({ at, target }) => at >= 5_000 && target.entry.availabilityZone === 'akl-b')
    assert.ok(first !== undefined && first.at <= 6_000, `seed ${seed}: ${first?.at}`)
  }
})

// Guards against probes all the time where requests are few or take long: each is a new connection to a target.
test('targets that answer are hardly ever probed', () => {
  for (const { perSecond, workMs } of [{ perSecond: 50, workMs: 300 }, { perSecond: 5, workMs: 3_000 }, { perSecond: 0.5, workMs: 300 }]) {
    const durationMs = 300_000
    const probes = runDay({ seed: 7, perSecond, workMs, durationMs, isUp: () => true })
    assert.ok(probes.length <= perSecond * durationMs / 1_000 * 0.02, `${probes.length} probes at ${perSecond} requests a second`)
  }
})

test.run()
