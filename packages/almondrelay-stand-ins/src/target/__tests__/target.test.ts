import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Agent, Client, request } from 'undici'
import { buildTargetAnswer } from '../buildTargetAnswer.js'
import { Target } from '../target.js'
import { TargetFaults } from '../targetFaults.js'
import { TargetSettings } from '../targetSettings.js'

interface Reply { status: number, notRun: boolean, text: string }
interface Ask { id?: string, query?: string, body?: string, deadlineMs?: number, signal?: AbortSignal }

interface Trial {
  target: Target
  ask: (options: Ask) => Promise<Reply>
  wait: (isReached: () => boolean) => Promise<void>
}

/** Runs against a target whose service time is fixed. */
async function withTarget (settings: Partial<TargetSettings>, run: (trial: Trial) => Promise<void>): Promise<void> {
  const controller = new AbortController()
  const dispatcher = new Agent({ connections: 8, pipelining: 1 })
  const target = await Target.start(TargetSettings.parse({ name: 'b-1', service: 'balances', slots: 2, serviceTimeMs: 1, sigma: 0, ...settings }), controller.signal)
  const ask = async ({ id, query = '', body, deadlineMs, signal }: Ask): Promise<Reply> => {
    const headers = { ...(id === undefined ? {} : { 'idempotency-key': id }), ...(deadlineMs === undefined ? {} : { 'almondrelay-deadline': String(deadlineMs) }) }
    const answer = await request(`http://${target.getAddress()}/work${query}`, { method: 'POST', headers, dispatcher, ...(body === undefined ? {} : { body }), ...(signal === undefined ? {} : { signal }) })
    return { status: answer.statusCode, notRun: answer.headers['almondrelay-not-run'] === '1', text: await answer.body.text() }
  }
  const wait = async (isReached: () => boolean): Promise<void> => {
    while (!isReached()) await new Promise((resolve) => setTimeout(resolve, 1))
  }
  await run({ target, ask, wait })
  controller.abort()
  await dispatcher.destroy()
}

const tryAsk = async (promise: Promise<Reply>): Promise<Reply | undefined> => await promise.catch(() => undefined)

test('an answer proves whose it is and has the size that was asked', async () => {
  await withTarget({}, async ({ target, ask }) => {
    const reply = await ask({ id: 'id-1', body: 'leave', query: '?answerBytes=5000' })
    assert.is(reply.text, buildTargetAnswer({ requestId: 'id-1', target: 'b-1', requestBody: Buffer.from('leave'), answerBytes: 5000 }))
    assert.is(reply.text.length, 5000)
    assert.is(JSON.parse(reply.text).requestId, 'id-1')
    assert.equal(target.state.readRuns().runs, { 'id-1': 1 })
  })
})

test('over its slots it sheds and says that it has not run the request', async () => {
  await withTarget({}, async ({ target, ask, wait }) => {
    const held = [ask({ id: 'a', query: '?workMs=400' }), ask({ id: 'b', query: '?workMs=400' })]
    await wait(() => target.state.readRuns().running === 2)
    const reply = await ask({ id: 'c' })
    assert.equal([reply.status, reply.notRun], [503, true])
    assert.equal((await Promise.all(held)).map((each) => each.status), [200, 200])
    assert.equal(target.state.readRuns().runs, { a: 1, b: 1 })
    assert.is(target.state.readRuns().maxRunning, 2)
  })
})

test('work stops when the caller gives up and at its deadline', async () => {
  await withTarget({}, async ({ target, ask, wait }) => {
    const controller = new AbortController()
    const given = tryAsk(ask({ id: 'a', query: '?workMs=60000', signal: controller.signal }))
    await wait(() => target.state.readRuns().running === 1)
    controller.abort()
    await given
    await wait(() => target.state.readRuns().cancelled === 1)
    assert.is((await ask({ id: 'b', query: '?workMs=60000', deadlineMs: 5 })).status, 504)
    assert.is((await ask({ id: 'c', deadlineMs: 0 })).notRun, true)
    const runs = target.state.readRuns()
    assert.equal([runs.expired, runs.running, runs.total], [1, 0, 2])
  })
})

test('broken answers break, their runs are counted, and the fault lapses', async () => {
  await withTarget({}, async ({ target, ask }) => {
    for (const fault of ['truncateBody', 'closeBeforeAnswer']) {
      await target.setFaults(TargetFaults.parse({ [fault]: true, times: 1 }))
      assert.is(await tryAsk(ask({ id: fault })), undefined, fault)
    }
    await target.setFaults(TargetFaults.parse({ resetAfterMs: 1, times: 1 }))
    assert.is(await tryAsk(ask({ id: 'reset', query: '?workMs=60000' })), undefined)
    assert.is((await ask({ id: 'whole' })).status, 200)
    assert.equal(target.state.readRuns().runs, { truncateBody: 1, closeBeforeAnswer: 1, reset: 1, whole: 1 })
  })
})

test('a wrong length cuts the answer short for whoever trusts it', async () => {
  await withTarget({}, async ({ target, ask }) => {
    await target.setFaults(TargetFaults.parse({ wrongLength: true, times: 1 }))
    const reply = await tryAsk(ask({ id: 'a' }))
    assert.is.not(reply?.text, buildTargetAnswer({ requestId: 'a', target: 'b-1', requestBody: Buffer.from(''), answerBytes: 0 }))
  })
})

test('a refusing target refuses connections until it is opened again', async () => {
  await withTarget({}, async ({ target, ask }) => {
    await target.setFaults(TargetFaults.parse({ refuse: true }))
    const error = await ask({}).then(() => undefined, (reason: NodeJS.ErrnoException) => reason)
    assert.is(error?.code, 'ECONNREFUSED')
    await target.setFaults(TargetFaults.parse({}))
    assert.is((await ask({})).status, 200)
  })
})

test('health lies as told and counts no run', async () => {
  await withTarget({}, async ({ target }) => {
    await target.setFaults(TargetFaults.parse({ leaving: true, lieAboutLoad: 0.5 }))
    const answer = await request(`http://${target.getAddress()}/health`, { reset: true })
    assert.equal(await answer.body.json(), { healthy: true, leaving: true, load: 0.5, slots: 2 })
    assert.is(target.state.readRuns().total, 0)
  })
})

// A host keeps a connection only to a target that echoes in every answer, health and refusals too; one answer without the
// id would cost a connection or fail a request.
test('every answer echoes the id of its sending, until the target withholds it', async () => {
  await withTarget({}, async ({ target }) => {
    const readEcho = async (path: string): Promise<[number, unknown]> => {
      const answer = await request(`http://${target.getAddress()}${path}`, { headers: { 'almondrelay-send-id': `of${path}` }, reset: true })
      await answer.body.text()
      return [answer.statusCode, answer.headers['almondrelay-send-id']]
    }
    assert.equal(await readEcho('/work'), [200, 'of/work'])
    assert.equal(await readEcho('/health'), [200, 'of/health'])
    await target.setFaults(TargetFaults.parse({ shed: true }))
    assert.equal(await readEcho('/work'), [503, 'of/work'])
    await target.setFaults(TargetFaults.parse({ withholdSendId: true }))
    assert.equal(await readEcho('/work'), [200, undefined])
  })
})

// The fault of a target that answers twice: the client takes the second answer for that to the next request.
test('a target that repeats its answers sends the last one again when the next request arrives', async () => {
  await withTarget({ serviceTimeMs: 30 }, async ({ target }) => {
    await target.setFaults(TargetFaults.parse({ repeatAnswer: true }))
    const client = new Client(`http://${target.getAddress()}`)
    const askAndReadId = async (id: string): Promise<unknown> => {
      const answer = await client.request({ method: 'POST', path: '/work', headers: { 'idempotency-key': id } })
      return (await answer.body.json() as { requestId: unknown }).requestId
    }
    assert.equal([await askAndReadId('a'), await askAndReadId('b')], ['a', 'a'])
    await client.destroy()
    assert.equal(target.state.readRuns().runs, { a: 1, b: 1 })
  })
})

test.run()
