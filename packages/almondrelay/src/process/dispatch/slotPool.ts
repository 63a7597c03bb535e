import type { RefusalReason } from '../../request/refusalReason.js'
import type { TargetSpec } from '../../version/resources/targetSpec.js'
import type { CreditGrant } from './creditGrant.js'

/** The slots of the targets that this host owns. Times are monotonic milliseconds. */
export abstract class SlotPool {
  /** Limit that refused the last attempt of this host to take a slot; undefined if no limit refused it. */
  abstract get shortage (): RefusalReason | undefined
  /** Applies the list of the service's targets; slots are kept for those in the own availability zone. */
  abstract adoptTargets (service: string, targets: readonly TargetSpec[], maxDeadlineMs: number, now: number): void
  /** Slots that this host may use now, by target. */
  abstract getFree (service: string, now: number): Map<string, number>
  /** Counts the requests of the own region that may start now. */
  abstract countFree (service: string, now: number): number
  /** Records how many requests of the own region wait, so that capacity is borrowed for them. */
  abstract observeWaiting (service: string, waiting: number): void
  /** Takes a slot for an attempt; returns false if there is none. */
  abstract acquire (service: string, target: string, holder: string, runsUntil: number, now: number): boolean
  /** Releases the slot of an attempt that has ended. */
  abstract release (holder: string, now: number): void
  /** Grants a peer credits for targets that `isUsable` accepts. */
  abstract grantCredits (service: string, sender: { host: string, region: string }, wanted: number, now: number, isUsable: (target: string) => boolean): CreditGrant
  /** Exchanges a credit for a slot; returns undefined if the credit has lapsed or was used. */
  abstract useCredit (creditId: string, holder: string, runsUntil: number, now: number): { service: string, target: string } | undefined
  abstract returnCredits (ids: readonly string[], now: number): void
}
