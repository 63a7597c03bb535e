import type { ConnectFailure } from './connectFailure.js'
import type { TargetConnection } from './targetConnection.js'

/** Result of opening a connection to a target. */
export type ConnectResult =
  | { kind: 'connected', connection: TargetConnection }
  | { kind: 'failed', failure: ConnectFailure }
