import { computeHash, computePairHash } from 'almondrelay-gateway'
import type { ModelRequest } from '../model/modelRequest.js'
import type { KnownTarget } from './knownTarget.js'
import { SteeringWay } from './steeringWay.js'

/** Requests of one host at one target at most, in parts of its slots. */
const LIMIT_PART = 1.5
const RETRY_AFTER_MS = 200

/** The baseline: one target a key by rendezvous hashing in the host's region, and a fixed limit for each target. */
export class PlainWay extends SteeringWay {
  private readonly near: readonly KnownTarget[]
  private readonly counts = new Map<string, number>()

  constructor (targets: readonly KnownTarget[], region: string) {
    super()
    this.near = targets.filter((target) => target.region === region)
  }

  override decide (request: ModelRequest): ReturnType<SteeringWay['decide']> {
    const weigh = (target: KnownTarget): number => computePairHash(computeHash(target.id), request.key)
    const target = this.near.reduce((best, each) => weigh(each) > weigh(best) ? each : best)
    if (this.countAt(target.id) >= target.slots * LIMIT_PART) return { kind: 'refuse', retryAfterMs: RETRY_AFTER_MS }
    this.counts.set(target.id, this.countAt(target.id) + 1)
    return { kind: 'send', targetId: target.id }
  }

  override observeEnd (_request: ModelRequest, targetId: string): void {
    this.counts.set(targetId, this.countAt(targetId) - 1)
  }

  override hearPeers (): void {}

  override countAt (targetId: string): number {
    return this.counts.get(targetId) ?? 0
  }
}
