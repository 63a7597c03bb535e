import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runScenario } from '../runScenario.js'
import { sleepFor } from '../sleepFor.js'

// Targets break answers off, state a wrong length, close before they answer and refuse connections. No caller gets a
// part of an answer or another's, and nothing runs twice.
test('broken answers: no caller gets a part of one, and nothing runs twice', async () => {
  const { problems } = await runScenario({
    during: async (cluster) => {
      await cluster.findTarget('approvals-akl-a-1').setFaults({ truncateBody: true })
      await cluster.findTarget('requests-wlg-a-1').setFaults({ closeBeforeAnswer: true })
      await cluster.findTarget('balances-chc-a-1').setFaults({ wrongLength: true })
      await cluster.findTarget('balances-akl-a-1').setFaults({ refuse: true })
      await sleepFor(2_500)
    }
  })
  assert.equal(problems, [])
})

// Targets send the answer to a request once more when the next one has arrived.
// No caller gets the answer to another request, and no order that ran is told that it did not.
test('repeated answers: no caller gets another\'s answer, and nothing is falsely told not-run', async () => {
  const { problems } = await runScenario({
    during: async (cluster) => {
      for (const target of cluster.targets) await target.setFaults({ repeatAnswer: true })
      await sleepFor(2_500)
    }
  })
  assert.equal(problems, [])
})

// A target says of itself that it is leaving. After three seconds no host may send it anything.
test('leaving: a target that says so gets no new work after three seconds', async () => {
  let runsAfterThreeSeconds = -1
  const { problems } = await runScenario({
    during: async (cluster) => {
      const target = cluster.findTarget('balances-akl-a-1')
      await target.setFaults({ leaving: true })
      await sleepFor(3_000)
      runsAfterThreeSeconds = (await target.readRuns()).total
    },
    after: async (cluster) => {
      assert.is((await cluster.findTarget('balances-akl-a-1').readRuns()).total, runsAfterThreeSeconds)
    }
  })
  assert.equal(problems, [])
})

// The targets' load and health endpoints lie: full ones say that they are empty. What hosts count themselves
// keeps every target within its slots.
test('measurements that mislead do not take a target over its slots', async () => {
  const { problems } = await runScenario({
    during: async (cluster) => {
      for (const target of cluster.targets) await target.setFaults({ lieAboutLoad: 0 })
      await sleepFor(2_000)
    }
  })
  assert.equal(problems, [])
})

test.run()
