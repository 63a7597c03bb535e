import type { AdmissionOptions } from '../../request/admission/admissionOptions.js'
import type { AdmissionQueue } from '../../request/admission/admissionQueue.js'
import type { TargetChooser } from '../../request/choice/targetChooser.js'
import { choosePlacement } from '../../request/placement/choosePlacement.js'
import type { Placement } from '../../request/placement/placement.js'
import type { PlacementInput } from '../../request/placement/placementInput.js'
import type { Random } from '../../request/random.js'
import { computeLookupAnswer } from '../../version/weights/computeLookupAnswer.js'
import type { LookupAnswer } from '../../version/weights/lookupAnswer.js'
import type { LookupInput } from '../../version/weights/lookupInput.js'
import { CallRecorder } from '../account/callRecorder.js'
import type { DecisionKind } from '../account/decisionKind.js'
import { RecordedAdmissionQueue } from '../account/recordedAdmissionQueue.js'
import { RecordedTargetChooser } from '../account/recordedTargetChooser.js'
import { DecisionModules } from '../dispatch/decisionModules.js'
import type { DecisionRecorder } from '../dispatch/decisionRecorder.js'
import type { HostIdentity } from '../dispatch/hostIdentity.js'

interface RecordedParts {
  identity: HostIdentity
  random: Random
  recorder: DecisionRecorder
}

/** Decision modules that log every call, so that `almondrelay replay` can repeat it. */
export class RecordedModules extends DecisionModules {
  private readonly placements: CallRecorder
  private readonly lookups: CallRecorder

  constructor (private readonly parts: RecordedParts) {
    super()
    this.placements = this.createRecorder('placement', '')
    this.lookups = this.createRecorder('lookup', '')
  }

  override createQueue (service: string, region: string, options: Partial<AdmissionOptions>): AdmissionQueue {
    return new RecordedAdmissionQueue(options, this.createRecorder('admission', `${service};${region}`))
  }

  override createChooser (service: string): TargetChooser {
    return new RecordedTargetChooser(this.createRecorder('choice', service))
  }

  override choosePlacement (requestId: string, input: PlacementInput, now: number): Placement {
    return this.placements.run({ call: 'choosePlacement', requestId, given: [input, now] }, () => choosePlacement(input, now, this.placements.random))
  }

  override computeLookupAnswer (input: LookupInput, previous: LookupAnswer | undefined, now: number): LookupAnswer {
    return this.lookups.run({ call: 'computeLookupAnswer', requestId: '', given: [input, previous, now] }, () => computeLookupAnswer(input, previous, now, this.lookups.random))
  }

  private createRecorder (kind: DecisionKind, name: string): CallRecorder {
    const { identity, random, recorder } = this.parts
    return new CallRecorder({ kind, instance: `${identity.host};${identity.incarnation};${name}`, random, record: (decision) => { recorder.record(decision as Parameters<DecisionRecorder['record']>[0]) } })
  }
}
