import type { TargetSpec } from '../../version/resources/targetSpec.js'

/** Keeps slots for the targets that the configuration names. */
export abstract class TargetAdopter {
  abstract adoptTargets (service: string, targets: readonly TargetSpec[], maxDeadlineMs: number, now: number): void
}
