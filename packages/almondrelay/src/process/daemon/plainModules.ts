import type { AdmissionOptions } from '../../request/admission/admissionOptions.js'
import { AdmissionQueue } from '../../request/admission/admissionQueue.js'
import { TargetChooser } from '../../request/choice/targetChooser.js'
import { choosePlacement } from '../../request/placement/choosePlacement.js'
import type { Placement } from '../../request/placement/placement.js'
import type { PlacementInput } from '../../request/placement/placementInput.js'
import type { Random } from '../../request/random.js'
import { computeLookupAnswer } from '../../version/weights/computeLookupAnswer.js'
import type { LookupAnswer } from '../../version/weights/lookupAnswer.js'
import type { LookupInput } from '../../version/weights/lookupInput.js'
import { DecisionModules } from '../dispatch/decisionModules.js'
import type { DecisionRecorder } from '../dispatch/decisionRecorder.js'

/** Decision modules without call recording; placements and look-up weights are logged with their input. */
export class PlainModules extends DecisionModules {
  constructor (private readonly random: Random, private readonly recorder: DecisionRecorder) {
    super()
  }

  override createQueue (_service: string, _region: string, options: Partial<AdmissionOptions>): AdmissionQueue {
    return new AdmissionQueue(options, this.random)
  }

  override createChooser (): TargetChooser {
    return new TargetChooser()
  }

  override choosePlacement (requestId: string, input: PlacementInput, now: number): Placement {
    const placement = choosePlacement(input, now, this.random)
    this.recorder.record({ decision: 'placement', requestId, input, output: placement })
    return placement
  }

  override computeLookupAnswer (input: LookupInput, previous: LookupAnswer | undefined, now: number): LookupAnswer {
    const weights = computeLookupAnswer(input, previous, now, this.random)
    this.recorder.record({ decision: 'lookup', requestId: '', input, output: weights })
    return weights
  }
}
