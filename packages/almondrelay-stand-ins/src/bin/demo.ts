#!/usr/bin/env node
import { ResourceKind } from 'almondrelay'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { setTimeout as sleepFor } from 'node:timers/promises'
import { Cluster } from '../cluster/cluster.js'
import { checkAccount } from '../demo/checkAccount.js'
import { formatAccount } from '../demo/formatAccount.js'
import { readAccount } from '../demo/readAccount.js'
import { runCommand } from '../demo/runCommand.js'
import type { DeclaredResource } from '../deployments/declaredResource.js'
import type { Deployment } from '../deployments/deployment.js'
import { kowhai } from '../deployments/kowhai.js'
import { withSmallestSizes } from '../deployments/withSmallestSizes.js'
import { CallerSender } from '../load/callerSender.js'
import { checkLoad } from '../load/checkLoad.js'
import { formatLatencies } from '../load/formatLatencies.js'
import { generateOperations } from '../load/generateOperations.js'
import { runLoad } from '../load/runLoad.js'
import { summarizeLoad } from '../load/summarizeLoad.js'
import { waitUntilIdle } from '../load/waitUntilIdle.js'

const SEED = 12
const RATE = 200
const DURATION_MS = 10_000
const CAP_AT_MS = 3_000
const DRAIN_AT_MS = 5_000
/** A host that takes longer to have a revision in force is a problem; the target is 4 s. */
const IN_FORCE_WITHIN_MS = 4_000
/** Within this long after a drain its targets get no new work. */
const DRAINED_WITHIN_MS = 3_000
const LAST_LINES = 10
/** Makes the small deployment's work long enough to fill it. */
const SLOWDOWN = 5
const DRAINED_ZONE = 'akl-b'

const CAP: DeclaredResource = { kind: ResourceKind.shiftCap, name: 'akl-to-wlg', spec: { from: 'akl', to: 'wlg', maxInFlight: 4 } }
const DRAIN: DeclaredResource = { kind: ResourceKind.drain, name: 'maintenance', spec: { scope: 'availabilityZone', name: DRAINED_ZONE } }

const controller = new AbortController()
const { signal } = controller
const problems: string[] = []

const small = withSmallestSizes(kowhai)
const deployment: Deployment = { ...small, services: small.services.map((service) => ({ ...service, serviceTimeMs: service.serviceTimeMs * SLOWDOWN })) }

console.log('Starting the platform, 24 targets and 6 entry hosts of Kōwhai (small).')
const cluster = await Cluster.start({ deployment, signal, relays: true })
const folder = await mkdtemp(path.join(tmpdir(), 'almondrelay-demo-'))

async function applyAt (atMs: number, resource: DeclaredResource): Promise<void> {
  await sleepFor(atMs, undefined, { signal })
  const file = path.join(folder, `${resource.name}.jsonc`)
  await writeFile(file, JSON.stringify([resource]))
  const operator = cluster.findHost('akl-a-1').plan.operator
  const { code, output } = await runCommand(['apply', '-f', file, '--operator', operator, '--author', 'demo'], signal)
  const acceptedAt = performance.now()
  const revision = Number(/revision (\d+)/.exec(output)?.[1])
  console.log(`almondrelay apply: ${output.trim()}`)
  if (code !== 0) problems.push(`almondrelay apply ${resource.kind}/${resource.name} ended with code ${code}`)
  await cluster.waitForRevision(revision, IN_FORCE_WITHIN_MS).catch((error: Error) => { problems.push(error.message) })
  console.log(`revision ${revision} in force at every host ${Math.round(performance.now() - acceptedAt)} ms after the command ended`)
}

const countDrainedRuns = async (): Promise<number> => {
  const drained = cluster.targets.filter((target) => target.availabilityZone === DRAINED_ZONE)
  const runs = await Promise.all(drained.map(async (target) => await target.readRuns()))
  return runs.reduce((sum, each) => sum + each.total, 0)
}

async function applyDrain (): Promise<number> {
  await applyAt(DRAIN_AT_MS, DRAIN)
  await sleepFor(DRAINED_WITHIN_MS, undefined, { signal })
  return await countDrainedRuns()
}

const entries = new Map(deployment.regions.map((region) => [region.name, cluster.hosts.filter((host) => host.plan.region === region.name).map((host) => host.plan.caller)]))
const sender = new CallerSender(entries, SEED)
const operations = generateOperations({ deployment, seed: SEED, rate: RATE, durationMs: DURATION_MS, deadlineMs: 4_000, writeShare: 0.5, regions: { akl: 3, wlg: 1, chc: 1 } })
console.log(`Callers send ${operations.length} requests in ${DURATION_MS / 1_000} s, three fifths of them from akl.`)
const [results, runsOnceDrained] = await Promise.all([runLoad(operations, sender, signal), applyDrain(), applyAt(CAP_AT_MS, CAP)])
await sender.close()

const runs = await waitUntilIdle(async () => await Promise.all(cluster.targets.map(async (target) => await target.readRuns())), signal)
for (const problem of checkLoad(results, runs)) problems.push(`operation ${problem.operation} ${problem.message}`)
const lateRuns = await countDrainedRuns() - runsOnceDrained
if (lateRuns > 0) problems.push(`targets of ${DRAINED_ZONE} got ${lateRuns} requests later than ${DRAINED_WITHIN_MS} ms after the drain was in force`)
cluster.targets.forEach((target, index) => {
  const slots = deployment.services.find((service) => service.name === target.service)?.slots ?? 0
  const shed = runs[index]?.shed ?? 0
  if ((runs[index]?.maxRunning ?? 0) > slots) problems.push(`${target.name} ran more than its ${slots} slots`)
  if (shed > 0) console.log(`${target.name} shed ${shed} requests`)
})

console.log('\nStopping the hosts, with what they still do finished.')
await Promise.all(cluster.hosts.map(async (host) => {
  const { code } = await host.program.stop()
  if (code !== 0) problems.push(`host ${host.name} ended with code ${code}; its last lines:\n${host.program.lines.filter((line) => !line.includes('"decision"')).slice(-LAST_LINES).join('\n')}`)
}))
const { report, rows } = await readAccount(cluster.platform.address, signal)
problems.push(...checkAccount(rows, results))
console.log(`\nWhat callers were told\n\n${formatLatencies(results)}\n\n${summarizeLoad(results)}`)
console.log(`\nThe account (${report.pages} pages)\n\n${formatAccount(rows)}`)

controller.abort()
await rm(folder, { recursive: true, force: true })
for (const problem of problems.slice(0, 30)) console.log(`PROBLEM ${problem}`)
console.log(`\n${results.length} requests, ${runs.reduce((sum, each) => sum + each.total, 0)} runs at targets, ${problems.length} counts that do not add up`)
// On a machine with a load average near 30 two demos did not end by themselves after this line; the cause is not known.
process.exit(problems.length === 0 ? 0 : 1)
