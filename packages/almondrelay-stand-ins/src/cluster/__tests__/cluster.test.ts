import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { kowhai } from '../../deployments/kowhai.js'
import { withSmallestSizes } from '../../deployments/withSmallestSizes.js'
import { CallerSender } from '../../load/callerSender.js'
import { checkLoad } from '../../load/checkLoad.js'
import { generateOperations } from '../../load/generateOperations.js'
import { runLoad } from '../../load/runLoad.js'
import { waitUntilIdle } from '../../load/waitUntilIdle.js'
import { findFreeAddresses } from '../../network/findFreeAddresses.js'
import { Cluster } from '../cluster.js'

test('free addresses are not given twice', async () => {
  const addresses = [...await findFreeAddresses(10), ...await findFreeAddresses(10)]
  assert.is(new Set(addresses).size, 20)
})

test('a deployment of real processes carries mixed work, and every count adds up', async () => {
  const controller = new AbortController()
  const { signal } = controller
  const deployment = { ...withSmallestSizes(kowhai), regions: kowhai.regions.slice(0, 1) }
  const cluster = await Cluster.start({ deployment, signal })
  const sender = new CallerSender(new Map([['akl', cluster.hosts.map((host) => host.plan.caller)]]), 3)
  const operations = generateOperations({ deployment, seed: 3, rate: 100, durationMs: 1_500, deadlineMs: 5_000, writeShare: 0.5 })
  const results = await runLoad(operations, sender, signal)
  await sender.close()
  const runs = await waitUntilIdle(async () => await Promise.all(cluster.targets.map(async (target) => await target.readRuns())), signal)
  assert.is(results.length, operations.length)
  assert.equal(checkLoad(results, runs), [])
  assert.ok(results.some((result) => result.answer.outcome === 'run'))
  assert.equal(await Promise.all(cluster.hosts.map(async (host) => (await host.program.stop()).code)), cluster.hosts.map(() => 0))
  controller.abort()
})

test.run()
