import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'

/** What recording an announcement needs besides the announcement. */
export interface AnnouncementsParts {
  log: EventLog
  metrics: GatewayMetrics
}
