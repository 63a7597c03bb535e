import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { countOutcomes } from '../countOutcomes.js'
import { runScenario } from '../runScenario.js'
import { sleepFor } from '../sleepFor.js'

// A region's zones are cut off from the others and from the platform for two seconds. Their own callers go on being
// served by their own targets; what was on its way across the cut is told truthfully.
test('cut: a region that is cut off serves on, and what callers were told agrees with what ran', async () => {
  const { results, problems } = await runScenario({
    relays: true,
    during: async (cluster) => {
      await sleepFor(1_000)
      for (const zone of ['chc-a', 'chc-b']) await cluster.relays?.injectAroundZone(zone, 'cut')
      for (const zone of ['chc-a', 'chc-b']) await cluster.relays?.injectToPlatform(zone, 'cut')
      await sleepFor(2_000)
      for (const zone of ['chc-a', 'chc-b']) await cluster.relays?.injectAroundZone(zone, 'pass')
      for (const zone of ['chc-a', 'chc-b']) await cluster.relays?.injectToPlatform(zone, 'pass')
    }
  })
  assert.equal(problems, [])
  const served = results.filter(({ operation, answer }) => operation.region === 'chc' && answer.outcome === 'run')
  assert.ok(served.length > 0)
})

// The open connections between hosts and to one target go silent for good while new ones work: something on the
// way has lost track of them. Requests on them are told unknown or go on elsewhere; nothing runs twice.
test('silent connections: what was sent on them is told truthfully, new ones are used', async () => {
  const { results, problems } = await runScenario({
    relays: true,
    during: async (cluster) => {
      await sleepFor(1_000)
      await cluster.relays?.injectBetweenZones('akl-a', 'akl-b', 'silence')
      await cluster.relays?.injectToTarget('approvals-akl-a-1', 'silence')
    }
  })
  assert.equal(problems, [])
  assert.ok((countOutcomes(results).run ?? 0) > 0)
})

test.run()
