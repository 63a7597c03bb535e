import type { Summary } from './summary.js'

/** What each message says of its sender. */
export type HeartbeatSender = Pick<Summary, 'host' | 'incarnation' | 'availabilityZone' | 'region' | 'revision'>
