import type { PartGrant } from './partGrant.js'

/** What uses the parts that a host holds, and knows whether work still runs on them. */
export abstract class PartUser {
  /** The grants that still bind if the part is given up now; undefined while this host's own work needs the part. */
  abstract tryGiveUp (part: string, now: number): PartGrant[] | undefined
  /** Whether this host itself has the only grant that a lost holder can have made, so that nothing is to be waited for. */
  abstract isOnlyGrantee (part: string, now: number): boolean
  /** The host holds the part from now on, under the grants of former holders. */
  abstract acceptPart (part: string, grants: readonly PartGrant[], now: number): void
}
