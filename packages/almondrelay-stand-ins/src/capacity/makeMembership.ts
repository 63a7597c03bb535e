import { Membership, type MembershipOptions } from 'almondrelay'

interface FleetShape {
  hostsInZone: number
  zones: number
  regions: number
}

/** A host's own name and what it knows of a fleet that is all alive. */
export function makeMembership (shape: FleetShape, self: number, now: number): { membership: Membership, options: MembershipOptions } {
  const hosts = Array.from({ length: shape.hostsInZone * shape.zones }, (_, index) => makeHost(shape, index))
  const own = hosts[self] as ReturnType<typeof makeHost>
  const options = { self: { ...own, incarnation: 1_790_000_000_000 }, heartbeatMs: 250, suspectAfterMs: 1_000 }
  const membership = new Membership(options)
  hosts.forEach((host, index) => {
    if (index !== self) membership.observeSummary({ ...host, incarnation: 1_790_000_000_000, revision: 1, isLeaving: false, isGone: false, isSilent: false, ageMs: 0, loads: LOADS }, now)
  })
  return { membership, options }
}

const LOADS = ['balances', 'requests', 'approvals', 'calendars'].map((service) => ({ service, freeSlots: 3, running: 12 }))

const makeHost = (shape: FleetShape, index: number) => {
  const zone = Math.floor(index / shape.hostsInZone)
  const region = zone % shape.regions
  const name = `region${String(region).padStart(2, '0')}-zone${String(zone).padStart(2, '0')}`
  return {
    host: `${name}-${String(index).padStart(4, '0')}`,
    availabilityZone: name,
    region: `region${String(region).padStart(2, '0')}`,
    callerAddress: `10.${zone}.0.${index % 250}:8080`,
    peerAddress: `10.${zone}.0.${index % 250}:8081`
  }
}
