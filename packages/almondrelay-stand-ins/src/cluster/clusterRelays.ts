import { TcpRelay } from '../network/tcpRelay.js'
import type { Deployment } from '../deployments/deployment.js'
import type { HostPlan } from './hostPlan.js'
import type { NetworkFault } from './networkFault.js'
import type { TargetHandle } from './targetHandle.js'

interface PeerRelay {
  fromZone: string
  toHost: HostPlan
  relay: TcpRelay
}

interface ClusterRelayParts {
  deployment: Deployment
  hosts: HostPlan[]
  targets: TargetHandle[]
  platformAddress: string
  signal: AbortSignal
}

/**
 * Relays between the parts of a cluster: one from each availability zone to each host of another
 * zone, with the deployment's one-way time; one from each zone to the platform; one before each
 * target. Hosts of one zone speak directly.
 */
export class ClusterRelays {
  private constructor (
    private readonly peers: readonly PeerRelay[],
    private readonly platform: ReadonlyMap<string, TcpRelay>,
    private readonly targets: ReadonlyMap<string, { address: string, relay: TcpRelay }>
  ) {}

  static async start ({ deployment, hosts, targets, platformAddress, signal }: ClusterRelayParts): Promise<ClusterRelays> {
    const zones = deployment.regions.flatMap((region) => region.availabilityZones.map((zone) => ({ name: zone.name, region: region.name })))
    const { betweenAvailabilityZones, betweenRegions } = deployment.latencyMs
    const pairs = zones.flatMap((zone) => hosts.filter((host) => host.availabilityZone !== zone.name).map((host) => ({ zone, host })))
    const peers = await Promise.all(pairs.map(async ({ zone, host }) => {
      const delayMs = zone.region === host.region ? betweenAvailabilityZones : betweenRegions
      return { fromZone: zone.name, toHost: host, relay: await TcpRelay.start({ target: host.peer, delayMs, signal }) }
    }))
    const platform = await Promise.all(zones.map(async (zone) => [zone.name, await TcpRelay.start({ target: platformAddress, signal })] as const))
    const before = await Promise.all(targets.map(async (target) => {
      return [target.name, { address: target.address, relay: await TcpRelay.start({ target: target.address, signal }) }] as const
    }))
    return new ClusterRelays(peers, new Map(platform), new Map(before))
  }

  /** The relay for each address that a host of a zone connects to. */
  listRedirects (zone: string): Record<string, string> {
    const peers = this.peers.filter((each) => each.fromZone === zone).map((each) => [each.toHost.peer, each.relay.getAddress()])
    const targets = [...this.targets.values()].map((each) => [each.address, each.relay.getAddress()])
    return Object.fromEntries([...peers, ...targets])
  }

  /** Where a host of a zone reaches the platform. */
  findPlatformAddress (zone: string): string {
    return requireRelay(this.platform.get(zone), zone).getAddress()
  }

  /** Faults the way between two zones, both ways. */
  async injectBetweenZones (one: string, other: string, fault: NetworkFault): Promise<void> {
    await this.injectToPeers(fault, ({ fromZone, toHost }) => {
      return (fromZone === one && toHost.availabilityZone === other) || (fromZone === other && toHost.availabilityZone === one)
    })
  }

  /** Faults the ways between a zone and all others. */
  async injectAroundZone (zone: string, fault: NetworkFault): Promise<void> {
    await this.injectToPeers(fault, ({ fromZone, toHost }) => fromZone === zone || toHost.availabilityZone === zone)
  }

  /** Faults the way from a zone to the platform. */
  async injectToPlatform (zone: string, fault: NetworkFault): Promise<void> {
    await applyFault(requireRelay(this.platform.get(zone), zone), fault)
  }

  /** Faults the way from every host to a target. */
  async injectToTarget (name: string, fault: NetworkFault): Promise<void> {
    await applyFault(requireRelay(this.targets.get(name)?.relay, name), fault)
  }

  private async injectToPeers (fault: NetworkFault, isHit: (relay: PeerRelay) => boolean): Promise<void> {
    await Promise.all(this.peers.filter(isHit).map(async (each) => { await applyFault(each.relay, fault) }))
  }
}

function requireRelay (relay: TcpRelay | undefined, name: string): TcpRelay {
  if (relay === undefined) throw new Error(`no relay for ${name}: name a zone or a target of the deployment`)
  return relay
}

async function applyFault (relay: TcpRelay, fault: NetworkFault): Promise<void> {
  if (fault === 'cut') relay.injectCut()
  else if (fault === 'silence') relay.injectSilence('both')
  else if (fault === 'partition') relay.injectPartition()
  else await relay.pass()
}
