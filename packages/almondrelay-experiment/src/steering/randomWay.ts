import type { ModelRequest } from '../model/modelRequest.js'
import type { KnownTarget } from './knownTarget.js'
import { SteeringWay } from './steeringWay.js'

/** Any target of the host's region, by chance. */
export class RandomWay extends SteeringWay {
  private readonly near: readonly KnownTarget[]

  constructor (targets: readonly KnownTarget[], region: string) {
    super()
    this.near = targets.filter((target) => target.region === region)
  }

  override decide (_request: ModelRequest, _now: number, random: number): ReturnType<SteeringWay['decide']> {
    return { kind: 'send', targetId: (this.near[Math.floor(random * this.near.length)] as KnownTarget).id }
  }

  override observeEnd (): void {}

  override hearPeers (): void {}

  override countAt (): number {
    return 0
  }
}
