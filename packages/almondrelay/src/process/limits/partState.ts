import type { GivenPart } from './givenPart.js'
import type { Part } from './part.js'
import type { PartHandOver } from './partHandOver.js'
import type { PartUser } from './partUser.js'

/** A host's state of one part. */
export interface PartState {
  part: Part
  user: PartUser
  held: boolean
  /** Whether new work may use the part; also false once a ready claim for it was received. */
  usable: boolean
  /** Names of the members that have answered, at the current view, that they don't hold the part. */
  cleared: Set<string>
  handOvers: PartHandOver[]
  /** Time of the last loss of a host that may have held the part. */
  lostAt: number
  /** Set while this host is the last known one to have handed the part over. */
  given: GivenPart | undefined
}
