import type { DecisionLog } from '../account/decisionLog.js'
import type { Decision } from '../account/decision.js'
import { DecisionRecorder } from '../dispatch/decisionRecorder.js'

/** Writes decisions to the decision log. */
export class DecisionLogRecorder extends DecisionRecorder {
  constructor (private readonly log: DecisionLog) {
    super()
  }

  override record (decision: Parameters<DecisionRecorder['record']>[0]): void {
    this.log.write(decision as Decision)
  }
}
