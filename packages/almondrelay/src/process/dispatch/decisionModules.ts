import type { AdmissionOptions } from '../../request/admission/admissionOptions.js'
import type { AdmissionQueue } from '../../request/admission/admissionQueue.js'
import type { TargetChooser } from '../../request/choice/targetChooser.js'
import type { Placement } from '../../request/placement/placement.js'
import type { PlacementInput } from '../../request/placement/placementInput.js'
import type { LookupAnswer } from '../../version/weights/lookupAnswer.js'
import type { LookupInput } from '../../version/weights/lookupInput.js'

/** The decision modules that a host calls: either directly, or with every call recorded for replay. */
export abstract class DecisionModules {
  abstract createQueue (service: string, region: string, options: Partial<AdmissionOptions>): AdmissionQueue
  abstract createChooser (service: string): TargetChooser
  abstract choosePlacement (requestId: string, input: PlacementInput, now: number): Placement
  abstract computeLookupAnswer (input: LookupInput, previous: LookupAnswer | undefined, now: number): LookupAnswer
}
