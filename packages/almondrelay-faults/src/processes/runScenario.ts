import { CallerSender, checkLoad, Cluster, generateOperations, kowhai, runLoad, waitUntilIdle, withSmallestSizes, type LoadResult } from 'almondrelay-stand-ins'

interface ScenarioOptions {
  /** Share of each region in the callers; a region that is left out counts as 1. */
  regions?: Record<string, number>
  /** Prepares the cluster before the load begins. */
  before?: (cluster: Cluster) => Promise<void>
  /** Injects faults while the load runs; the load goes on after it has resolved. */
  during: (cluster: Cluster) => Promise<void>
  /** Puts relays between the zones, the platform and the targets. */
  relays?: boolean
  /** Checks made once the load has ended and before the processes do. */
  after?: (cluster: Cluster) => Promise<void>
}

interface ScenarioOutcome {
  results: LoadResult[]
  /** What callers were told against what the targets ran, where the two disagree. */
  problems: string[]
}

const SEED = 20261202
const RATE = 60
const DURATION_MS = 5_000
const DEADLINE_MS = 4_000
/** Share of requests that are not idempotent: they are what a double run would harm. */
const WRITE_SHARE = 0.7

/** Runs a seeded load against real processes of Kōwhai's smallest size while faults are injected, and counts. */
export async function runScenario ({ regions, before, during, relays = false, after }: ScenarioOptions): Promise<ScenarioOutcome> {
  const owner = new AbortController()
  const deployment = withSmallestSizes(kowhai)
  const cluster = await Cluster.start({ deployment, signal: owner.signal, relays })
  try {
    const entries = new Map(deployment.regions.map((region) => [region.name, cluster.hosts.filter((host) => host.plan.region === region.name).map((host) => host.plan.caller)]))
    const sender = new CallerSender(entries, SEED)
    const shares = regions ?? Object.fromEntries(deployment.regions.map((region) => [region.name, 1]))
    await before?.(cluster)
    const operations = generateOperations({ deployment, seed: SEED, rate: RATE, durationMs: DURATION_MS, deadlineMs: DEADLINE_MS, writeShare: WRITE_SHARE, regions: shares })
    const [results] = await Promise.all([runLoad(operations, sender, owner.signal), during(cluster)])
    await sender.close()
    const runs = await waitUntilIdle(async () => await Promise.all(cluster.targets.map(async (target) => await target.readRuns())), owner.signal)
    const problems = checkLoad(results, runs).map((problem) => `operation ${problem.operation} ${problem.message}`)
    cluster.targets.forEach((target, index) => {
      const slots = deployment.services.find((service) => service.name === target.service)?.slots ?? 0
      if ((runs[index]?.maxRunning ?? 0) > slots) problems.push(`${target.name} ran ${runs[index]?.maxRunning} at once, over its ${slots} slots`)
    })
    await after?.(cluster)
    return { results, problems }
  } finally {
    owner.abort()
    await Promise.all(cluster.hosts.map(async (host) => await host.program.exited))
  }
}
