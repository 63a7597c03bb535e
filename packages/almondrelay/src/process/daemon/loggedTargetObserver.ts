import type Logger from 'bunyan'
import { TargetObserver } from '../../connection/target/targetObserver.js'
import type { UnprovedAnswer } from '../../connection/target/unprovedAnswer.js'
import type { Metrics } from './metrics.js'

/** Logs and counts what happens on connections to targets. */
export class LoggedTargetObserver extends TargetObserver {
  constructor (private readonly log: Logger, private readonly metrics: Metrics) {
    super()
  }

  override observeConnection (address: string): void {
    this.metrics.observeTargetConnection(address)
  }

  override observeUnprovedAnswer (answer: UnprovedAnswer): void {
    this.log.warn({ ...answer }, 'answer of a target not passed on: it may belong to another request')
    this.metrics.observeUnprovedAnswer(answer.address, answer.identity)
  }
}
