/** A strategy for keeping hosts within the slots of shared targets, for comparison. */
export abstract class LimitStrategy {
  /** Starts a request at a host if the strategy admits it, and returns the target where it runs. */
  abstract tryStart (host: number, holder: string, now: number): string | undefined
  /** Records that a request which this strategy started has ended. */
  abstract release (host: number, holder: string, target: string, now: number): void
  /** Time passes; `running` is what really runs on each target. */
  abstract advance (now: number, running: ReadonlyMap<string, number>): void
}
