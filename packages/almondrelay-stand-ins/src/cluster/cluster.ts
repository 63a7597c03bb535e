import type { PlatformHost } from 'almondrelay'
import { setMaxListeners } from 'node:events'
import { rmSync } from 'node:fs'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { buildResources } from '../deployments/buildResources.js'
import type { DeclaredResource } from '../deployments/declaredResource.js'
import type { Deployment } from '../deployments/deployment.js'
import { sendJson } from '../network/sendJson.js'
import type { ClusterOptions } from './clusterOptions.js'
import { ClusterRelays } from './clusterRelays.js'
import { HostHandle } from './hostHandle.js'
import { planHosts } from './planHosts.js'
import { PlatformHandle } from './platformHandle.js'
import { requireOk } from './requireOk.js'
import { startTargets } from './startTargets.js'
import type { TargetHandle } from './targetHandle.js'
import { writeHostSettings } from './writeHostSettings.js'

interface ClusterParts {
  deployment: Deployment
  platform: PlatformHandle
  targets: TargetHandle[]
  hosts: HostHandle[]
  relays: ClusterRelays | undefined
}

/** A whole deployment of real processes: platform, targets and entry hosts, with its resources in force. */
export class Cluster {
  readonly deployment: Deployment
  readonly platform: PlatformHandle
  readonly targets: readonly TargetHandle[]
  readonly hosts: readonly HostHandle[]
  /** Undefined where the cluster was started without relays. */
  readonly relays: ClusterRelays | undefined

  private constructor (parts: ClusterParts) {
    this.deployment = parts.deployment
    this.platform = parts.platform
    this.targets = parts.targets
    this.hosts = parts.hosts
    this.relays = parts.relays
  }

  /** Starts everything, writes the deployment's resources and waits until every host has them in force. */
  static async start (options: ClusterOptions): Promise<Cluster> {
    const { deployment, signal } = options
    // A listener for each program and relay.
    setMaxListeners(0, signal)
    const folder = await mkdtemp(path.join(tmpdir(), 'almondrelay-cluster-'))
    signal.addEventListener('abort', () => { rmSync(folder, { recursive: true, force: true }) }, { once: true })
    const [platform, targets, plans] = await Promise.all([
      PlatformHandle.start(signal),
      startTargets(deployment, options.targetSettings ?? {}, signal, options.targetProgramsAZone),
      planHosts(deployment)
    ])
    const relays = options.relays === true ? await ClusterRelays.start({ deployment, hosts: plans, targets, platformAddress: platform.address, signal }) : undefined
    await platform.putHosts([...plans.map((plan) => describeEntryHost(plan)), ...targets.map((target) => describeTarget(target))])
    const hosts = await Promise.all(plans.map(async (host) => {
      const settingsFile = await writeHostSettings({ folder, host, hosts: plans, platformAddress: platform.address, relays, overrides: options.hostSettings ?? {} })
      return await HostHandle.start({ plan: host, settingsFile, redirects: relays?.listRedirects(host.availabilityZone) ?? {}, isSilent: options.isSilent ?? false, signal })
    }))
    const cluster = new Cluster({ deployment, platform, targets, hosts, relays })
    await Promise.all(hosts.map(async (host) => await host.waitForStatus((status) => status.isReady)))
    const addresses = new Map(targets.map((target) => [target.name, target.address]))
    await cluster.waitForRevision(await cluster.putResources(buildResources(deployment, addresses)))
    return cluster
  }

  findHost (name: string): HostHandle {
    return requireNamed(this.hosts, name)
  }

  findTarget (name: string): TargetHandle {
    return requireNamed(this.targets, name)
  }

  listTargets (service: string): TargetHandle[] {
    return this.targets.filter((target) => target.service === service)
  }

  /** Writes resources through the operator port of a host, the first one where none is given; returns the last revision. */
  async putResources (resources: DeclaredResource[], host?: HostHandle): Promise<number> {
    const through = host ?? requireFirst(this.hosts)
    let revision = 0
    for (const resource of resources) {
      const reply = await sendJson({
        method: 'PUT',
        address: through.plan.operator,
        path: `/v1/resources/${resource.kind}/${resource.name}`,
        body: resource.spec,
        headers: { 'almondrelay-author': 'cluster', 'if-none-match': '*' }
      })
      requireOk(`PUT ${resource.kind}/${resource.name}`, reply)
      revision = (reply.body as { revision: number }).revision
    }
    return revision
  }

  /** Waits until every running host has a revision in force. */
  async waitForRevision (revision: number, limitMs?: number): Promise<void> {
    const running = this.hosts.filter((host) => host.program.isRunning())
    await Promise.all(running.map(async (host) => await host.waitForStatus((status) => status.revision >= revision, limitMs)))
  }
}

function describeEntryHost (plan: HostHandle['plan']): PlatformHost {
  return { name: plan.name, role: 'entry', availabilityZone: plan.availabilityZone, region: plan.region, leaving: false, callerAddress: plan.caller, peerAddress: plan.peer }
}

function describeTarget (target: TargetHandle): PlatformHost {
  return { name: target.name, role: 'target', availabilityZone: target.availabilityZone, region: target.region, leaving: false }
}

function requireNamed<Item extends { readonly name: string }> (items: readonly Item[], name: string): Item {
  const found = items.find((item) => item.name === name)
  if (found === undefined) throw new Error(`nothing is named ${name}: use one of ${items.map((item) => item.name).join(', ')}`)
  return found
}

function requireFirst (hosts: readonly HostHandle[]): HostHandle {
  const [first] = hosts
  if (first === undefined) throw new Error('the deployment has no host: give a zone one')
  return first
}
