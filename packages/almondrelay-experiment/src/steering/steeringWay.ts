import type { ModelRequest } from '../model/modelRequest.js'

/** Where a request goes, or when its caller may come back. */
type SteeringDecision = { kind: 'send', targetId: string } | { kind: 'refuse', retryAfterMs: number }

/** A way to steer, as one host carries it out. Times are virtual milliseconds. */
export abstract class SteeringWay {
  /** @param random in [0, 1) */
  abstract decide (request: ModelRequest, now: number, random: number): SteeringDecision
  /** Told of each request that was sent, when it ends; `durationMs` with the trip. */
  abstract observeEnd (request: ModelRequest, targetId: string, hasRun: boolean, durationMs: number, now: number): void
  /** Called every tenth of a second with what the other hosts have at each target. */
  abstract hearPeers (peers: readonly SteeringWay[], now: number): void
  /** Requests of this host at a target. */
  abstract countAt (targetId: string): number
}
