import type Logger from 'bunyan'
import type { ChangeLog } from '../../process/configuration/changeLog.js'
import type { ConfigurationStore } from '../../process/configuration/configurationStore.js'
import type { StatusHooks } from '../../process/configuration/status/statusHooks.js'
import type { Member } from '../../process/membership/member.js'

interface AccountQuery {
  since?: string
  until?: string
}

/** Dependencies of the operators' API: the state that it reads and changes. */
export interface OperatorAppOptions {
  /** Name of this host. */
  host: string
  store: ConfigurationStore
  changeLog: ChangeLog
  /** Lists every known host, including this one. */
  listMembers: () => Member[]
  statusHooks: StatusHooks
  /** Fetches the minute pages of the account between two times. */
  fetchAccount: (query: AccountQuery, signal: AbortSignal) => Promise<unknown>
  makeWriteId: () => string
  log: Logger
}
