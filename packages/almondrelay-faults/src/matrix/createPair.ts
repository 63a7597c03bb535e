import { FakeFleet } from '../fleet/fakeFleet.js'

/** Two regions of one zone, host and two targets of two slots each. */
export function createPair (seed = 1): FakeFleet {
  return new FakeFleet([
    { region: 'akl', availabilityZone: 'akl-a', targets: 2, slots: 2 },
    { region: 'wlg', availabilityZone: 'wlg-a', targets: 2, slots: 2 }
  ], seed)
}
