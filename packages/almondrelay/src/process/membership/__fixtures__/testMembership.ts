import { Membership } from '../membership.js'
import type { Summary } from '../summary.js'

const INCARNATION = 1_790_000_000_000

/** Makes a summary of a host named `<region>-<zone>-<n>`. */
function makeSummary (host: string, changed: Partial<Summary> = {}): Summary {
  const [region = '', zone = ''] = host.split('-')
  const address = `10.0.0.1:${1_000 + Number(host.replace(/\D/g, ''))}`
  return {
    host,
    incarnation: INCARNATION,
    availabilityZone: `${region}-${zone}`,
    region,
    callerAddress: address,
    peerAddress: address,
    revision: 0,
    isLeaving: false,
    isGone: false,
    isSilent: false,
    ageMs: 0,
    loads: [],
    ...changed
  }
}

function createMembership (host: string): Membership {
  return new Membership({ self: makeSummary(host), heartbeatMs: 250, suspectAfterMs: 1_000 })
}

/** A membership as seen by one host, and summaries to pass to it. */
export const testMembership = { INCARNATION, makeSummary, createMembership }
