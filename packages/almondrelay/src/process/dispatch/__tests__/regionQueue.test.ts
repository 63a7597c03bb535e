import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AdmissionQueue } from '../../../request/admission/admissionQueue.js'
import { TargetChooser } from '../../../request/choice/targetChooser.js'
import { createSeededRandom } from '../../../request/createSeededRandom.js'
import { HostSlots } from '../../limits/hostSlots.js'
import { RegionLimits } from '../../limits/regionLimits.js'
import { FakeClock } from '../../platform/__fixtures__/fakeClock.js'
import { DecisionRecorder } from '../decisionRecorder.js'
import { HostCapacity } from '../hostCapacity.js'
import { RegionQueue } from '../regionQueue.js'

const HOST = { host: 'akl-a-1', incarnation: 1, availabilityZone: 'akl-a', region: 'akl' }

class SilentRecorder extends DecisionRecorder {
  override record (): void {}
}

function createQueue (clock: FakeClock): RegionQueue {
  const slots = new HostSlots(HOST)
  return new RegionQueue({
    service: 'approvals',
    region: 'wlg',
    queue: new AdmissionQueue({ maxQueued: 8 }, createSeededRandom(1)),
    chooser: new TargetChooser(),
    slots: new HostCapacity({ region: 'akl', slots, limits: new RegionLimits(HOST, slots.claims), wakeLoans: () => undefined }),
    usesOwnSlots: false,
    clock,
    random: createSeededRandom(2),
    recorder: new SilentRecorder(),
    estimateCredits: () => 4,
    wakeCreditTask: () => undefined,
    returnCredits: () => undefined,
    signal: new AbortController().signal
  })
}

// A peer's answer can arrive so late that the credit in it has already lapsed. The lapsed credit was counted as a usable
// one, so no other was requested, and the request waited until it was refused.
test('a credit that came too late is not counted as one in hand', async () => {
  const clock = new FakeClock()
  const regionQueue = createQueue(clock)
  const request = { id: 'a', caller: 'c', key: '', route: 'POST /leave', deadlineAt: 5_000, arrivedAt: 0 }
  const granted = regionQueue.admit(request, 'r', new Set(), new AbortController().signal)
  await clock.advance(200)
  assert.is(regionQueue.countWantedCredits(), 1)
  regionQueue.addCredits([{ id: 'late', host: 'wlg-a-1', target: 't', expiresAt: 100 }])
  assert.is(regionQueue.countWantedCredits(), 1)
  regionQueue.addCredits([{ id: 'fresh', host: 'wlg-a-1', target: 't', expiresAt: 1_000 }])
  const grant = await granted
  assert.is(grant.kind === 'credit' ? grant.credit.id : grant.kind, 'fresh')
})

test.run()
