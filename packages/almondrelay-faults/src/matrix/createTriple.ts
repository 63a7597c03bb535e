import { FakeFleet } from '../fleet/fakeFleet.js'

/** Three regions of one zone and host each. */
export function createTriple (seed: number): FakeFleet {
  return new FakeFleet(['akl', 'wlg', 'chc'].map((region) => ({ region, availabilityZone: `${region}-a`, targets: 2, slots: 2 })), seed)
}
