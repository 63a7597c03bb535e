import type { HostEntry } from '../fleet/hostEntry.js'

/** Describes how far another host is, as the metrics label it. */
export function describeDistance (own: HostEntry, other: HostEntry): 'zone' | 'region' | 'regions' {
  if (own.availabilityZone === other.availabilityZone) return 'zone'
  return own.region === other.region ? 'region' : 'regions'
}
