import type Logger from 'bunyan'
import type { Decision } from './decision.js'

/** Writes one log line per decision; `almondrelay explain` and `almondrelay replay` read these lines. */
export class DecisionLog {
  constructor (private readonly log: Logger) {}

  write (decision: Decision): void {
    const { requestId, input, output } = decision
    this.log.info({ decision: decision.decision, requestId, input, output }, `decision ${decision.decision}`)
  }
}
