import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { SteeringConfiguration } from '../../../version/steeringConfiguration.js'
import { FleetState } from '../fleetState.js'

const test = suite('FleetState')
const BOUND_MS = 3_000
const makeFleet = (): FleetState => new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
const adopt = (fleet: FleetState, version: number): void => {
  const configuration: SteeringConfiguration = { version, routes: [], services: new Map(), organisations: undefined, limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
  fleet.adoptConfiguration(configuration)
}

// Guards against a host that refuses a route as unknown although other hosts have a newer configuration in force.
test('a configuration may be lacking from the first report of a newer one until it is in force', () => {
  const fleet = makeFleet()
  adopt(fleet, 12)
  fleet.confirmedAt = 0
  fleet.receivePeerVersion(12, 0)
  assert.not(fleet.isPossiblyOutdated(0, BOUND_MS))
  fleet.receivePeerVersion(14, 100)
  assert.ok(fleet.isPossiblyOutdated(100, BOUND_MS))
  adopt(fleet, 14)
  assert.not(fleet.isPossiblyOutdated(100, BOUND_MS))
  fleet.receivePeerVersion(12, 200)
  assert.not(fleet.isPossiblyOutdated(200, BOUND_MS))
  assert.ok(fleet.isPossiblyOutdated(BOUND_MS + 1, BOUND_MS), 'a state that nobody has confirmed for too long')
})

// Guards against a host that never says again that there is no such route, as one peer reports a version that does not exist.
test('a reported version that the store does not show within the bound counts as an error', () => {
  const fleet = makeFleet()
  adopt(fleet, 12)
  for (let now = 0; now <= BOUND_MS + 100; now += 100) {
    fleet.receivePeerVersion(0xffffffff, now)
    fleet.confirmedAt = now
  }
  assert.not(fleet.isPossiblyOutdated(BOUND_MS + 100, BOUND_MS))
})

test.run()
