import { create } from '@bufbuild/protobuf'
import { HostSummarySchema, ServiceLoadSchema } from 'almondrelay-protocol'
import type { HostSummary } from 'almondrelay-protocol'
import type { Summary } from '../../process/membership/summary.js'
import { MAX_SUMMARY_AGE_MS } from './longestAgeMs.js'

/** Encodes a host summary for a message to a peer. The age of a host that sends no reports is encoded above `MAX_SUMMARY_AGE_MS`. */
export function encodeSummary (summary: Summary): HostSummary {
  const ageMs = Math.min(summary.ageMs, MAX_SUMMARY_AGE_MS)
  return create(HostSummarySchema, {
    host: summary.host,
    incarnation: BigInt(summary.incarnation),
    availabilityZone: summary.availabilityZone,
    region: summary.region,
    callerAddress: summary.callerAddress,
    peerAddress: summary.peerAddress,
    leaving: summary.isLeaving,
    gone: summary.isGone,
    revision: BigInt(summary.revision),
    ageMs: summary.isSilent ? ageMs + MAX_SUMMARY_AGE_MS + 1 : ageMs,
    loads: summary.loads.map((load) => create(ServiceLoadSchema, load))
  })
}
