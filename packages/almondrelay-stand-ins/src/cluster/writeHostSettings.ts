import { writeFile } from 'node:fs/promises'
import path from 'node:path'
import type { ClusterRelays } from './clusterRelays.js'
import type { HostPlan } from './hostPlan.js'

interface HostSettingsParts {
  folder: string
  host: HostPlan
  hosts: HostPlan[]
  platformAddress: string
  relays: ClusterRelays | undefined
  /** Groups of settings that replace the daemon's defaults, such as `{ lookups: { ttlMs: 500 } }`. */
  overrides: Record<string, unknown>
}

/** Writes the settings file of one host and returns its path. */
export async function writeHostSettings ({ folder, host, hosts, platformAddress, relays, overrides }: HostSettingsParts): Promise<string> {
  const settings = {
    host: { name: host.name, region: host.region, availabilityZone: host.availabilityZone },
    listen: { caller: host.caller, peer: host.peer, operator: host.operator },
    platform: { url: `http://${relays?.findPlatformAddress(host.availabilityZone) ?? platformAddress}` },
    peers: hosts.filter((each) => each.name !== host.name).map((each) => ({
      name: each.name,
      region: each.region,
      availabilityZone: each.availabilityZone,
      peer: each.peer
    })),
    ...overrides
  }
  const file = path.join(folder, `${host.name}.jsonc`)
  await writeFile(file, JSON.stringify(settings, undefined, 2))
  return file
}
