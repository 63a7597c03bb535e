import type { Summary } from './summary.js'

/** Identity and revision of the sender, which each message carries. */
export type HeartbeatSender = Pick<Summary, 'host' | 'incarnation' | 'availabilityZone' | 'region' | 'revision'>
