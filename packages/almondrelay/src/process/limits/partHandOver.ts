import type { PartGrant } from './partGrant.js'

/** What a former holder says of a part that it has given up. */
export interface PartHandOver {
  part: string
  /** Grants that the former holder made from it and that still bind. */
  grants: PartGrant[]
  /** Given up to the asker since both took up their present view, so that nothing else can run on it. */
  toAsker: boolean
}
