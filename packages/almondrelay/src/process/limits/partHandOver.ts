import type { RosterHost } from './rosterHost.js'

/** What a former holder says of a part that it has given up. */
export interface PartHandOver {
  part: string
  /** Milliseconds for which a grant that the former holder made from it still binds. */
  busyMs: number
  /** The host that has that grant. */
  grantee: RosterHost | undefined
  /** Given up to the asker since both took up their present view, so that nothing else can run on it. */
  toAsker: boolean
}
