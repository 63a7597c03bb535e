import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { countOutcomes } from '../countOutcomes.js'
import { listCutOff } from '../listCutOff.js'
import { runScenario } from '../runScenario.js'
import { sleepFor } from '../sleepFor.js'

// A host's process is killed under load and a new one takes its place. Callers whose home it was
// can't learn what became of their requests; they are told unknown, and nothing runs twice.
test('kill: a host dies and comes back, and what callers were told agrees with what ran', async () => {
  const { results, problems } = await runScenario({
    during: async (cluster) => {
      const host = cluster.findHost('akl-a-1')
      await sleepFor(1_500)
      await host.program.kill()
      await sleepFor(500)
      await host.restart()
    }
  })
  assert.equal(problems, [])
  assert.ok((countOutcomes(results).run ?? 0) > 0)
})

// A host is paused for longer than any lease and credit, and wakes. It must not send what it was about to,
// nor use slots that its lapsed leases no longer cover.
test('freeze and wake: a paused host runs nothing on what lapsed meanwhile', async () => {
  const { problems } = await runScenario({
    during: async (cluster) => {
      const host = cluster.findHost('wlg-a-1')
      await sleepFor(1_000)
      host.program.freeze()
      await sleepFor(3_000)
      host.program.wake()
    }
  })
  assert.equal(problems, [])
})

// A host is stopped for maintenance under load. It must finish what it has, and its callers must not notice.
test('planned stop: everything in flight is finished and the process ends with 0', async () => {
  const { results, problems } = await runScenario({
    during: async (cluster) => {
      await sleepFor(1_000)
      const { code } = await cluster.findHost('chc-a-1').program.stop()
      assert.is(code, 0)
    }
  })
  assert.equal(problems, [])
  assert.equal(listCutOff(results), [])
})

test.run()
