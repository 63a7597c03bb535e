import { TcpRelay } from '../network/tcpRelay.js'
import type { Deployment } from '../deployments/deployment.js'
import type { HostPlan } from './hostPlan.js'

interface PeerRelay {
  fromZone: string
  toHost: HostPlan
  relay: TcpRelay
}

/** What a network fault does to the connections between two places. */
type NetworkFault = 'cut' | 'silence' | 'partition' | 'pass'

/**
 * Relays between availability zones: one from each zone to each host of another zone, with the
 * deployment's one-way time, and one from each zone to the platform. Hosts of one zone speak directly.
 */
export class ClusterRelays {
  private constructor (private readonly peers: PeerRelay[], private readonly platform: Map<string, TcpRelay>) {}

  static async start (deployment: Deployment, hosts: HostPlan[], platformAddress: string, signal: AbortSignal): Promise<ClusterRelays> {
    const zones = deployment.regions.flatMap((region) => region.availabilityZones.map((zone) => ({ name: zone.name, region: region.name })))
    const { betweenAvailabilityZones, betweenRegions } = deployment.latencyMs
    const pairs = zones.flatMap((zone) => hosts.filter((host) => host.availabilityZone !== zone.name).map((host) => ({ zone, host })))
    const peers = await Promise.all(pairs.map(async ({ zone, host }) => {
      const delayMs = zone.region === host.region ? betweenAvailabilityZones : betweenRegions
      return { fromZone: zone.name, toHost: host, relay: await TcpRelay.start({ target: host.peer, delayMs, signal }) }
    }))
    const platform = new Map<string, TcpRelay>()
    for (const zone of zones) platform.set(zone.name, await TcpRelay.start({ target: platformAddress, signal }))
    return new ClusterRelays(peers, platform)
  }

  /** Where a host of a zone reaches a peer. */
  findPeerAddress (fromZone: string, host: HostPlan): string {
    return this.peers.find((each) => each.fromZone === fromZone && each.toHost.name === host.name)?.relay.getAddress() ?? host.peer
  }

  /** Where a host of a zone reaches the platform. */
  findPlatformAddress (zone: string): string {
    const relay = this.platform.get(zone)
    if (relay === undefined) throw new Error(`no availability zone ${zone}: name one of the deployment`)
    return relay.getAddress()
  }

  /** Faults the way from zone to zone, both ways. */
  async injectBetweenZones (one: string, other: string, fault: NetworkFault): Promise<void> {
    const hit = this.peers.filter((each) => {
      return (each.fromZone === one && each.toHost.availabilityZone === other) || (each.fromZone === other && each.toHost.availabilityZone === one)
    })
    await Promise.all(hit.map(async (each) => { await applyFault(each.relay, fault) }))
  }

  /** Faults the ways between a zone and all others. */
  async injectAroundZone (zone: string, fault: NetworkFault): Promise<void> {
    const hit = this.peers.filter((each) => each.fromZone === zone || each.toHost.availabilityZone === zone)
    await Promise.all(hit.map(async (each) => { await applyFault(each.relay, fault) }))
  }

  /** Faults the way from a zone to the platform. */
  async injectToPlatform (zone: string, fault: NetworkFault): Promise<void> {
    const relay = this.platform.get(zone)
    if (relay !== undefined) await applyFault(relay, fault)
  }
}

async function applyFault (relay: TcpRelay, fault: NetworkFault): Promise<void> {
  if (fault === 'cut') relay.injectCut()
  else if (fault === 'silence') relay.injectSilence('both')
  else if (fault === 'partition') relay.injectPartition()
  else await relay.pass()
}
