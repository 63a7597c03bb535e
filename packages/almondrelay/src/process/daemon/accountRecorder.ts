import type { Answer } from '../../request/answer.js'
import type { Configuration } from '../../version/configuration.js'
import type { AccountLedger } from '../account/accountLedger.js'
import { AnswerRecorder } from '../dispatch/answerRecorder.js'
import type { DecisionRecorder } from '../dispatch/decisionRecorder.js'
import type { HostIdentity } from '../dispatch/hostIdentity.js'
import type { Clock } from '../platform/clock.js'
import type { Metrics } from './metrics.js'

interface AccountRecorderParts {
  identity: HostIdentity
  clock: Clock
  ledger: AccountLedger
  recorder: DecisionRecorder
  metrics: Metrics
  getConfiguration: () => Configuration | undefined
}

/** Records every final answer in the account, the metrics and the decision log. */
export class AccountRecorder extends AnswerRecorder {
  constructor (private readonly parts: AccountRecorderParts) {
    super()
  }

  override begin (): number {
    return this.parts.clock.getNow()
  }

  override finish (startedAt: number, request: { service: string, caller: string, id: string }, answer: Answer): void {
    const { clock, ledger, identity, recorder, metrics } = this.parts
    const durationMs = clock.getNow() - startedAt
    const zone = this.findZone(request.service, answer.target)
    ledger.record({
      at: clock.getWallTime(),
      caller: request.caller,
      service: request.service,
      region: zone.region,
      availabilityZone: zone.availabilityZone,
      callerRegion: identity.region,
      outcome: answer.outcome,
      durationMs,
      ...(answer.target === undefined ? {} : { target: answer.target }),
      ...(answer.reason === undefined ? {} : { reason: answer.reason })
    })
    metrics.observeAnswer(request.service, answer.outcome, answer.reason, durationMs)
    recorder.record({
      decision: 'answer',
      requestId: request.id,
      input: { service: request.service, caller: request.caller },
      output: { outcome: answer.outcome, status: answer.status, reason: answer.reason ?? '', target: answer.target ?? '', durationMs: Math.round(durationMs * 10) / 10 }
    })
  }

  /** Returns the zone of the target, or this host's zone when the request was sent to no target. */
  private findZone (service: string, target: string | undefined): Pick<HostIdentity, 'region' | 'availabilityZone'> {
    const configuration = this.parts.getConfiguration()
    const spec = target === undefined ? undefined : configuration?.get('Service', service)?.spec.targets.find((each) => each.name === target)
    if (configuration === undefined || spec === undefined) return this.parts.identity
    const region = configuration.list('Region').find((each) => each.spec.availabilityZones.includes(spec.availabilityZone))
    return { region: region?.name ?? '', availabilityZone: spec.availabilityZone }
  }
}
