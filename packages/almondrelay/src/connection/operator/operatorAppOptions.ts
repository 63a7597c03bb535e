import type Logger from 'bunyan'
import type { ChangeLog } from '../../process/configuration/changeLog.js'
import type { ConfigurationStore } from '../../process/configuration/configurationStore.js'
import type { StatusHooks } from '../../process/configuration/status/statusHooks.js'
import type { Member } from '../../process/membership/member.js'

interface AccountQuery {
  since?: string
  until?: string
}

/** What the operator port shows and changes. */
export interface OperatorAppOptions {
  /** Name of this host. */
  host: string
  store: ConfigurationStore
  changeLog: ChangeLog
  /** Every host that is known, this one among them. */
  listMembers: () => Member[]
  statusHooks: StatusHooks
  /** The minute pages of the account between two times. */
  fetchAccount: (query: AccountQuery, signal: AbortSignal) => Promise<unknown>
  makeWriteId: () => string
  log: Logger
}
