import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SuspensionAwareClock } from '../suspensionAwareClock.js'

const test = suite('SuspensionAwareClock')

/** Clocks of a simulated machine, advanced by the test. */
class MachineClocks {
  steady = 5_000
  wall = 1_800_000_000_000
  uptime = 90_000
  readonly gaps: number[] = []
  readonly clock = new SuspensionAwareClock({ readSteady: () => this.steady, readWall: () => this.wall, readUptime: () => this.uptime }, (gapMs) => { this.gaps.push(gapMs) })

  run (ms: number): void {
    this.steady += ms
    this.wall += ms
    this.uptime += ms
  }

  suspend (ms: number): void {
    this.wall += ms
    this.uptime += ms
  }
}

// Guards against a host that resumes after a suspension of eight seconds and, as its steady clock has stood still, forwards
// requests of callers that have left, based on the state of targets of eight seconds ago.
test('the first reading after a suspension includes its length', () => {
  const machine = new MachineClocks()
  const before = machine.clock.getNow()
  machine.run(100)
  machine.suspend(8_000)
  assert.is(machine.clock.getNow() - before, 8_100)
  assert.equal(machine.gaps, [8_000])
  machine.run(50)
  assert.is(machine.clock.getNow() - before, 8_150)
  machine.suspend(2_000)
  assert.is(machine.clock.getNow() - before, 10_150)
  assert.equal(machine.gaps, [8_000, 2_000])
})

// Guards against an adjustment of the wall clock that is taken for a suspension: set forward by a minute, it would put every
// request past its deadline and make every peer appear silent.
test('setting the wall clock does not change the time', () => {
  const machine = new MachineClocks()
  const before = machine.clock.getNow()
  machine.wall += 60_000
  machine.run(10)
  assert.is(machine.clock.getNow() - before, 10)
  machine.wall -= 60_000
  machine.run(10)
  assert.is(machine.clock.getNow() - before, 20)
  assert.equal(machine.gaps, [])
})

test('an uptime that jumps independently of the machine does not change the time', () => {
  const machine = new MachineClocks()
  const before = machine.clock.getNow()
  machine.uptime += 1_000_000
  machine.run(10)
  machine.wall += 5_000
  assert.is(machine.clock.getNow() - before, 10)
  assert.equal(machine.gaps, [])
})

// The wall clock is set while the machine is suspended, so that it alone does not show the length of the suspension.
test('time never runs backwards', () => {
  const machine = new MachineClocks()
  let last = machine.clock.getNow()
  for (const step of [3_000, -9_000, 250, -1, 7_000]) {
    machine.suspend(Math.max(0, step))
    machine.wall += Math.min(0, step)
    machine.run(1)
    const now = machine.clock.getNow()
    assert.ok(now > last)
    last = now
  }
})

test.run()
