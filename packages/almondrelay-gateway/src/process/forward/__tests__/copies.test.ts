import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeAnswerHead } from '../../../connection/__fixtures__/makeAnswerHead.js'
import { makeRequest } from '../../../connection/__fixtures__/makeRequest.js'
import { PlainTargetCodec } from '../../../connection/__fixtures__/plainTargetCodec.js'
import type { AttemptResult } from '../../../request/attemptResult.js'
import { CopyDecision } from '../../../request/copyDecision.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import type { TargetChoice } from '../../../request/targetChoice.js'
import type { TargetState } from '../../../request/targetState.js'
import { makeRoute } from '../../../version/__fixtures__/makeRoute.js'
import type { RequestGate } from '../../quarantine/requestGate.js'
import type { RequestPlacement } from '../requestPlacement.js'
import { RequestRunner } from '../requestRunner.js'

const test = suite('copies sent while the first attempt runs')
/** Milliseconds after which an attempt counts as overdue here, with a margin. */
const OVERDUE_MS = 200
const SEND_TIMEOUT_MS = 3_000

const answer = (text: string, status = 200): AttemptResult => ({ kind: 'answered', head: makeAnswerHead({ status }), body: Buffer.from(text) })
const makeChoice = (target: TargetState): TargetChoice =>
  ({ target, expectedMs: 1, costMs: 1, workMs: 1, waitMs: 0, roundTripMs: 0, rank: 0, outstanding: 0, isCached: true })

interface Sent {
  finish: (result: AttemptResult) => void
  isClosed: boolean
}

/** A runner whose targets answer when the test says so; its first target gets no answer before the copy is due. */
class CopyRig {
  readonly sent: Sent[] = []
  readonly counted: string[] = []
  readonly left = new AbortController()
  /** Ids of the targets to which the links are lost. */
  readonly lost = new Set<string>()
  private readonly targets = ['one', 'two', 'three'].map((id) => makeTarget({ id }))
  readonly runner: RequestRunner
  readonly answered: ReturnType<RequestRunner['run']>

  constructor (decision: CopyDecision = CopyDecision.send, idempotent = true, maxAttempts = 3, timeoutMs = 2_000) {
    const placement = {
      service: 'balances',
      homeRegion: 'akl',
      describeKnownState: () => ({}),
      choose: (request: unknown, triedIds: ReadonlySet<string>) => this.targets.filter(({ entry }) => !triedIds.has(entry.id)).map(makeChoice)[0],
      computeCopyDelay: () => 0,
      admitCopy: () => decision,
      isIdentified: () => true,
      claimSend: () => true,
      useRetry: () => true,
      observeSend: () => undefined,
      observeFinish: () => undefined,
      observeResult: () => undefined,
      observeOverrun: () => undefined,
      findRequestLimit: () => undefined,
      hasLostLinks: () => false,
      computeLimitWait: () => undefined,
      getPool: () => ({ acquire: () => Promise.resolve({ kind: 'connected', connection: this.openConnection() }) })
    } as unknown as RequestPlacement
    const gate = { isBlocked: false, allowSend: () => true, describe: () => ({}), observeResult: () => undefined, fingerprint: '' } as unknown as RequestGate
    const links = { isLost: ({ entry }: TargetState) => this.lost.has(entry.id), verifyLoss: () => Promise.resolve(false), addSend: () => () => undefined }
    this.runner = new RequestRunner(makeRequest({ arrivedAt: performance.now(), deadline: performance.now() + timeoutMs, route: makeRoute({ idempotent, maxAttempts }) }), placement, { codec: new PlainTargetCodec(), links: links as never, carriers: {} as never, gate, metrics: { countCopy: (event) => { this.counted.push(event) } }, getNow: () => performance.now(), random: () => 0 })
    this.answered = this.runner.run(this.left.signal)
  }

  /** Waits until so many attempts were sent. */
  async waitForSends (count: number): Promise<void> {
    const startedAt = performance.now()
    while (this.sent.length < count) {
      if (performance.now() - startedAt > SEND_TIMEOUT_MS) throw new Error(`${this.sent.length} of ${count} attempts were sent`)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }

  async waitForTurns (): Promise<void> {
    for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
  }

  private openConnection (): object {
    const sent: Sent = { finish: () => undefined, isClosed: false }
    const close = (reason: string): void => {
      sent.isClosed = true
      sent.finish({ kind: 'broken', reason })
    }
    return { exchange: () => new Promise<AttemptResult>((resolve) => { sent.finish = resolve; this.sent.push(sent) }), release: () => undefined, close, reset: close }
  }
}

test('the copy answers first, and the first attempt is cancelled', async () => {
  const rig = new CopyRig()
  await rig.waitForSends(2)
  rig.sent[1]?.finish(answer('copy'))
  const final = await rig.answered
  assert.is(final.kind === 'passed' && final.body.toString(), 'copy')
  assert.is(rig.sent[0]?.isClosed, true)
  assert.equal(rig.counted, ['sent', 'won'])
  assert.equal(rig.runner.record.attempts.map(({ isCopy, result }) => [isCopy, result]), [[true, 'answered 200'], [undefined, 'answered elsewhere']])
})

test('both answer at once: the caller gets exactly one whole answer', async () => {
  const rig = new CopyRig()
  await rig.waitForSends(2)
  rig.sent[0]?.finish(answer('first'))
  rig.sent[1]?.finish(answer('copy'))
  const final = await rig.answered
  assert.is(final.kind === 'passed' && final.body.toString(), 'first')
  assert.equal(rig.counted, ['sent', 'wasted'])
})

// Guards against a copy whose target crashes and that takes the first attempt's answer from the caller, or uses up further attempts.
test('the failure of a copy ends neither the request nor sends it a third time', async () => {
  const rig = new CopyRig()
  await rig.waitForSends(2)
  rig.sent[1]?.finish({ kind: 'broken', reason: 'closed' })
  await rig.waitForTurns()
  assert.is(rig.sent.length, 2)
  rig.sent[0]?.finish(answer('first'))
  assert.is((await rig.answered).kind, 'passed')
})

test('the failure of the first attempt leaves the request to its copy', async () => {
  const rig = new CopyRig()
  await rig.waitForSends(2)
  rig.sent[0]?.finish(answer('failed', 500))
  rig.sent[1]?.finish(answer('copy'))
  const final = await rig.answered
  assert.is(final.kind === 'passed' && final.body.toString(), 'copy')
})

test('a request whose attempt and copy both fail is sent again within its attempts', async () => {
  const rig = new CopyRig()
  await rig.waitForSends(2)
  for (const sent of rig.sent) sent.finish({ kind: 'broken', reason: 'closed' })
  await rig.waitForSends(3)
  rig.sent[2]?.finish(answer('third'))
  assert.is((await rig.answered).kind, 'passed')
})

// Guards against a request that waits for its deadline at a copy's silent target after its first attempt has failed.
test('the failure of the first attempt sends the request again where its copy is overdue', async () => {
  const rig = new CopyRig()
  await rig.waitForSends(2)
  await new Promise((resolve) => { setTimeout(resolve, OVERDUE_MS) })
  rig.sent[0]?.finish({ kind: 'broken', reason: 'closed' })
  await rig.waitForSends(3)
  rig.sent[2]?.finish(answer('third'))
  const final = await rig.answered
  assert.is(final.kind === 'passed' && final.body.toString(), 'third')
})

// Guards against a request that waits for its deadline because the links to both its targets are lost.
test('a request whose attempt and copy are both cut off is sent again', async () => {
  const rig = new CopyRig()
  await rig.waitForSends(2)
  rig.lost.add('one')
  rig.runner.handleLinkLoss()
  await rig.waitForTurns()
  assert.is(rig.sent.length, 2)
  rig.lost.add('two')
  rig.runner.handleLinkLoss()
  await rig.waitForSends(3)
  rig.sent[2]?.finish(answer('third'))
  assert.is((await rig.answered).kind, 'passed')
})

// Guards against work for a caller who is gone.
test('both attempts are cancelled when the caller disconnects', async () => {
  const rig = new CopyRig()
  await rig.waitForSends(2)
  rig.left.abort()
  assert.is((await rig.answered).kind, 'abandoned')
  assert.equal(rig.sent.map(({ isClosed }) => isClosed), [true, true])
})

// Guards against a booking that runs twice, and against attempts beyond those that the route allows.
test('no copy is sent of a request that may run once, or beyond the attempts of its route', async () => {
  for (const rig of [new CopyRig(CopyDecision.send, false), new CopyRig(CopyDecision.send, true, 1)]) {
    await rig.waitForSends(1)
    await rig.waitForTurns()
    assert.is(rig.sent.length, 1)
    rig.sent[0]?.finish(answer('first'))
    await rig.answered
    assert.equal(rig.counted, [])
  }
})

test('the reason why a copy is withheld is logged and counted', async () => {
  const rig = new CopyRig(CopyDecision.late)
  await rig.waitForSends(1)
  while (rig.counted.length === 0) await rig.waitForTurns()
  rig.sent[0]?.finish(answer('first'))
  await rig.answered
  assert.equal(rig.counted, ['late'])
  assert.is(rig.runner.record.withheldCopy, 'late')
})

// Guards against a request that counts as running at its target for ever, because its caller left and its connection went silent.
test('a request that may run once is awaited until its deadline after its caller left', async () => {
  const rig = new CopyRig(CopyDecision.send, false, 3, 100)
  await rig.waitForSends(1)
  rig.left.abort()
  assert.is((await rig.answered).kind, 'abandoned')
  assert.not(rig.sent[0]?.isClosed)
  for (let look = 0; look < 600 && rig.sent[0]?.isClosed !== true; look += 1) await new Promise((resolve) => { setTimeout(resolve, 5) })
  assert.ok(rig.sent[0]?.isClosed)
})

test.run()
