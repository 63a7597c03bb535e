import type { PartGrant } from './partGrant.js'

/** A user of the parts that a host holds, which knows whether work still runs on them. */
export abstract class PartUser {
  /** Returns the grants that still bind if the part is handed over now; undefined while this host's own work needs the part. */
  abstract tryHandOver (part: string, now: number): PartGrant[] | undefined
  /** Whether this host itself has the only grant that a lost holder can have made, so that there is no other grant to wait for. */
  abstract isOnlyGrantee (part: string, now: number): boolean
  /** Accepts the part, which this host holds from now on, subject to the grants of former holders. */
  abstract acceptPart (part: string, grants: readonly PartGrant[], now: number): void
}
