import type { LimitKind } from './limitKind.js'

/** One limit on the work that runs in a region, as the configuration declares it. */
export interface LimitSpec {
  /** The limit's kind and the name of its resource, such as `link/akl-wlg`. */
  name: string
  kind: LimitKind
  maxInFlight: number
  /** Absent where the limit counts work from every region. */
  fromRegion?: string
  /** Absent where the limit counts every service. */
  service?: string
}
