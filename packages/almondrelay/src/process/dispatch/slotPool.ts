import type { RefusalReason } from '../../request/refusalReason.js'
import type { TargetSpec } from '../../version/resources/targetSpec.js'
import type { CreditGrant } from './creditGrant.js'

/** The slots of the targets that this host owns. Times are monotonic milliseconds. */
export abstract class SlotPool {
  /** The limit that refused this host's own work last; undefined where none did. */
  abstract get shortage (): RefusalReason | undefined
  /** Keeps slots for the service's targets of the own availability zone. */
  abstract adoptTargets (service: string, targets: readonly TargetSpec[], maxDeadlineMs: number, now: number): void
  /** Slots that this host may use now, by target. */
  abstract getFree (service: string, now: number): Map<string, number>
  /** Requests of the own region that may start now. */
  abstract countFree (service: string, now: number): number
  /** Takes note of requests of the own region that wait, so that capacity is borrowed for them. */
  abstract observeWaiting (service: string, waiting: number): void
  /** Takes a slot for an attempt; false where none is left. */
  abstract acquire (service: string, target: string, holder: string, runsUntil: number, now: number): boolean
  /** The attempt's end is known. */
  abstract release (holder: string, now: number): void
  /** Credits on targets that `isUsable` lets through. */
  abstract grantCredits (service: string, sender: { host: string, region: string }, wanted: number, now: number, isUsable: (target: string) => boolean): CreditGrant
  /** Turns a credit into a slot; undefined where it lapsed or was used. */
  abstract useCredit (creditId: string, holder: string, runsUntil: number, now: number): { service: string, target: string } | undefined
  abstract returnCredits (ids: readonly string[], now: number): void
}
