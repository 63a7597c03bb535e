import type { Credit } from '../limits/credit.js'

/** The slots of the targets that this host owns. Times are monotonic milliseconds. */
export abstract class SlotPool {
  /** Slots that this host may use now, by target. */
  abstract getFree (service: string, now: number): Map<string, number>
  /** Takes a slot for an attempt; false where none is left. */
  abstract acquire (service: string, target: string, holder: string, runsUntil: number, now: number): boolean
  /** The attempt's end is known. */
  abstract release (holder: string, now: number): void
  /** Credits on targets that `isUsable` lets through. */
  abstract grantCredits (service: string, sender: string, wanted: number, now: number, isUsable: (target: string) => boolean): Credit[]
  /** Turns a credit into a slot; undefined where it lapsed or was used. */
  abstract useCredit (creditId: string, holder: string, runsUntil: number, now: number): { service: string, target: string } | undefined
  abstract returnCredits (ids: readonly string[], now: number): void
}
