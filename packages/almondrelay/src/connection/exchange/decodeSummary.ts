import type { HostSummary } from 'almondrelay-protocol'
import { TargetSpec } from '../../version/resources/targetSpec.js'
import { ResourceName } from '../../version/resources/resourceName.js'
import type { Summary } from '../../process/membership/summary.js'
import { decodeCount } from './decodeCount.js'
import { MAX_SUMMARY_AGE_MS } from './longestAgeMs.js'
import { makeRefusal } from './makeRefusal.js'
import { PeerRefusal } from './peerRefusal.js'

const MAX_LOADS = 256
const Address = TargetSpec.shape.address

/** Decodes a host summary from a peer's message; throws a refusal if the summary is malformed. */
export function decodeSummary (summary: HostSummary): Summary {
  const names = [summary.host, summary.availabilityZone, summary.region]
  const isSound = names.every((name) => ResourceName.safeParse(name).success) && isAddress(summary.callerAddress) && isAddress(summary.peerAddress) && summary.loads.length <= MAX_LOADS
  if (!isSound) throw makeRefusal(PeerRefusal.malformed, `a summary of host '${summary.host.slice(0, 63)}' has a name or address that can't be`)
  const isSilent = summary.ageMs > MAX_SUMMARY_AGE_MS
  return {
    host: summary.host,
    incarnation: decodeCount(summary.incarnation),
    availabilityZone: summary.availabilityZone,
    region: summary.region,
    callerAddress: summary.callerAddress,
    peerAddress: summary.peerAddress,
    revision: decodeCount(summary.revision),
    isLeaving: summary.leaving,
    isGone: summary.gone,
    isSilent,
    ageMs: isSilent ? summary.ageMs - MAX_SUMMARY_AGE_MS - 1 : summary.ageMs,
    loads: summary.loads.map(({ service, freeSlots, running }) => ({ service, freeSlots, running }))
  }
}

const isAddress = (address: string): boolean => address === '' || Address.safeParse(address).success
