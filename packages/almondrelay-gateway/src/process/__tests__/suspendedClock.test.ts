import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SuspendedClock } from '../suspendedClock.js'

const test = suite('SuspendedClock')

/** A machine whose clocks the test moves. */
class MachineClocks {
  steady = 5_000
  wall = 1_800_000_000_000
  uptime = 90_000
  readonly gaps: number[] = []
  readonly clock = new SuspendedClock({ readSteady: () => this.steady, readWall: () => this.wall, readUptime: () => this.uptime }, (gapMs) => { this.gaps.push(gapMs) })

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

// A host is suspended for eight seconds in the middle of its requests. By its steady clock no time has passed: it would send
// them on for callers who have left, by what it knew of targets eight seconds ago.
test('the first reading after a suspension counts it', () => {
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

// Somebody sets the time of day forward by a minute. Taken for a suspension, every request would be past its deadline and every
// peer silent.
test('a time of day that is set moves nothing', () => {
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

test('an uptime that says nothing of this machine moves nothing', () => {
  const machine = new MachineClocks()
  const before = machine.clock.getNow()
  machine.uptime += 1_000_000
  machine.run(10)
  machine.wall += 5_000
  assert.is(machine.clock.getNow() - before, 10)
  assert.equal(machine.gaps, [])
})

// The time of day is set while the machine stands still: neither clock alone says how long.
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
