import type { GivenPart } from './givenPart.js'
import type { Part } from './part.js'
import type { PartHandOver } from './partHandOver.js'
import type { PartUser } from './partUser.js'

/** What a host knows of one part. */
export interface PartState {
  part: Part
  user: PartUser
  held: boolean
  /** False, too, from when a ready claim came for it. */
  usable: boolean
  /** Members that said, at the present view, that they don't hold it. */
  cleared: Set<string>
  handOvers: PartHandOver[]
  /** When the last host that may have held it was lost. */
  lostAt: number
  /** Set while this host was the last to give it up, as far as it knows. */
  given: GivenPart | undefined
}
