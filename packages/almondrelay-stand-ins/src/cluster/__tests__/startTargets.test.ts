import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { kowhai } from '../../deployments/kowhai.js'
import { planTargets } from '../../deployments/planTargets.js'
import { withSmallestSizes } from '../../deployments/withSmallestSizes.js'
import { sendJson } from '../../network/sendJson.js'
import { PlatformHandle } from '../platformHandle.js'
import { startTargets } from '../startTargets.js'

test('the targets of a deployment run in one program a zone and answer for themselves', async () => {
  const controller = new AbortController()
  const small = withSmallestSizes(kowhai)
  const targets = await startTargets(small, { sigma: 0, serviceTimeMs: 1 }, controller.signal)
  assert.equal(targets.map((target) => target.name).sort(), planTargets(small).map((plan) => plan.name).sort())
  assert.is(new Set(targets.map((target) => target.program.getPid())).size, 6)
  const [first, second] = targets
  if (first === undefined || second === undefined) throw new Error('too few targets')
  const reply = await sendJson({ method: 'POST', address: first.address, path: '/x', headers: { 'idempotency-key': 'a' } })
  assert.is((reply.body as { target: string }).target, first.name)
  assert.equal((await first.readRuns()).runs, { a: 1 })
  await second.setFaults({ refuse: true })
  assert.is(await sendJson({ method: 'GET', address: second.address, path: '/x' }).then(() => 'answered', (error: NodeJS.ErrnoException) => error.code), 'ECONNREFUSED')
  controller.abort()
  await Promise.all(targets.map(async (target) => await target.program.exited))
})

test('a frozen program answers again when it is woken, and a killed one is gone', async () => {
  const controller = new AbortController()
  const platform = await PlatformHandle.start(controller.signal)
  platform.program.freeze()
  const held = platform.readCounts()
  assert.is(await Promise.race([held.then(() => 'answered'), new Promise((resolve) => setTimeout(() => { resolve('silent') }, 100))]), 'silent')
  platform.program.wake()
  assert.equal(await held, {})
  assert.equal(await platform.program.kill(), { code: null, signal: 'SIGKILL' })
  assert.is(await platform.readCounts().then(() => 'answered', (error: NodeJS.ErrnoException) => error.code), 'ECONNREFUSED')
  controller.abort()
})

test('a planned stop of a stand-in ends it with no error', async () => {
  const controller = new AbortController()
  const platform = await PlatformHandle.start(controller.signal)
  assert.equal(await platform.program.stop(), { code: 0, signal: null })
  controller.abort()
})

test.run()
