import { Writable } from 'node:stream'
import bunyan from 'bunyan'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeAnswerHead } from '../../../connection/__fixtures__/makeAnswerHead.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import { EventLog } from '../../observe/eventLog.js'
import { GatewayMetrics } from '../../observe/gatewayMetrics.js'
import { TargetAnnouncements } from '../targetAnnouncements.js'

const test = suite('TargetAnnouncements')

interface LogLine { msg: string, perSecond?: number | string, previous?: number | string, requestId?: string }

const createAnnouncements = (): { announcements: TargetAnnouncements, lines: LogLine[] } => {
  const lines: LogLine[] = []
  const stream = new Writable({ write: (line: Buffer, _encoding, done) => { lines.push(JSON.parse(line.toString()) as LogLine); done() } })
  const log = new EventLog(bunyan.createLogger({ name: 'test', stream }), () => 0)
  return { announcements: new TargetAnnouncements({ log, metrics: new GatewayMetrics() }), lines }
}

test('each change of a request limit is logged once, with the request whose answer stated it', () => {
  const { announcements, lines } = createAnnouncements()
  const target = makeTarget()
  announcements.observeAnswer(target, makeAnswerHead(), 0, 10)
  announcements.observeAnswer(target, makeAnswerHead({ requestLimit: 5.7, requestId: 'first' }), 20, 30)
  announcements.observeAnswer(target, makeAnswerHead({ requestLimit: 5.7 }), 40, 50)
  announcements.observeAnswer(target, makeAnswerHead({ requestLimit: undefined }), 60, 70)
  assert.equal(lines.map(({ msg }) => msg), ['request limit of a target', 'request limit of a target can\'t be read'])
  assert.equal([lines[0]?.perSecond, lines[0]?.previous, lines[0]?.requestId], [5.7, 'none', 'first'])
  assert.is(announcements.limits.get(target), 5.7)
})

test('a departure and the begin of a pause are logged once, with the request whose answer announced them', () => {
  const { announcements, lines } = createAnnouncements()
  const target = makeTarget()
  for (const at of [10, 20]) announcements.observeAnswer(target, makeAnswerHead({ isLeaving: true, requestId: `leaving at ${at}` }), 0, at)
  for (const at of [30, 40]) announcements.observeAnswer(target, makeAnswerHead({ status: 503, isNotRun: true, pauseMs: 3_000, requestId: `refused at ${at}` }), 0, at)
  assert.equal(lines.map(({ msg, requestId }) => [msg, requestId]), [['target announced that it is leaving', 'leaving at 10'], ['target asked for a pause', 'refused at 30']])
})

// Guards against a departure that is forgotten because the entry of the target lapsed and came back, or was written once more.
test('a departure outlives the entry of the target, and not its incarnation', () => {
  const { announcements } = createAnnouncements()
  const target = makeTarget({ incarnation: 1 })
  announcements.observeAnswer(target, makeAnswerHead({ isLeaving: true }), 0, 10)
  target.updateEntry({ ...target.entry, sequence: 2 }, 20)
  const returned = makeTarget({ incarnation: 1 })
  const restarted = makeTarget({ incarnation: 2 })
  for (const added of [returned, restarted]) announcements.departures.apply(added)
  assert.equal([target, returned, restarted].map((each) => each.isLeaving()), [true, true, false])
})

test('a departure is reported to peers for a while, and stops a peer that did not hear of it itself', () => {
  const { announcements } = createAnnouncements()
  const { announcements: peer } = createAnnouncements()
  const target = makeTarget()
  announcements.observeAnswer(target, makeAnswerHead({ isLeaving: true }), 0, 10)
  assert.equal(announcements.departures.takeReports(20), [target.incarnationHash])
  assert.equal(announcements.departures.takeReports(1_000), [])
  assert.equal(announcements.departures.takeReports(2_100), [target.incarnationHash])
  assert.equal(announcements.departures.takeReports(30_000), [])
  const known = makeTarget()
  peer.departures.observe(known, { peer: 'front-1' }, 100)
  assert.ok(known.isLeaving())
  assert.equal(peer.departures.takeReports(200), [])
})

// Guards against a pause that ends early because of an answer to an older request, or that one bad answer makes last for good.
test('a pause ends by its own time only, and no pause lasts longer than five minutes', () => {
  const { announcements } = createAnnouncements()
  const target = makeTarget()
  announcements.observeAnswer(target, makeAnswerHead({ status: 503, isNotRun: true, pauseMs: 3_000 }), 0, 100)
  announcements.observeAnswer(target, makeAnswerHead({ status: 503, isNotRun: true, pauseMs: 500 }), 50, 200)
  announcements.observeAnswer(target, makeAnswerHead(), 60, 300)
  assert.is(announcements.pauses.computeWait(target, 1_100), 2_000)
  assert.is(announcements.pauses.computeWait(target, 3_100), 0)
  announcements.observeAnswer(target, makeAnswerHead({ status: 503, isNotRun: true, pauseMs: 1e12 }), 4_000, 4_000)
  assert.is(announcements.pauses.computeWait(target, 4_000), 300_000)
})

// Guards against a limit that is taken for lifted by an older answer that arrives later on another connection.
test('an answer to a request that was sent before the limit arrived does not lift it', () => {
  const { announcements } = createAnnouncements()
  const target = makeTarget()
  announcements.observeAnswer(target, makeAnswerHead({ requestLimit: 5 }), 100, 200)
  announcements.observeAnswer(target, makeAnswerHead(), 150, 300)
  assert.is(announcements.limits.get(target), 5)
})

// Guards against a limit that is forgotten because the entry of the target lapsed, as in an outage of the store, and came back.
test('a limit outlives the entry of the target', () => {
  const { announcements } = createAnnouncements()
  announcements.observeAnswer(makeTarget({ incarnation: 1 }), makeAnswerHead({ requestLimit: 5 }), 0, 10)
  assert.is(announcements.limits.get(makeTarget({ incarnation: 1 })), 5)
  assert.is(announcements.limits.get(makeTarget({ incarnation: 2 })), Infinity)
})

test('a limit is reported to peers when it changes, again while answers state it, and by its newest answer', () => {
  const { announcements } = createAnnouncements()
  const target = makeTarget()
  const takePerSecond = (now: number): number[] => announcements.limits.takeReports(now).map(({ perSecond }) => perSecond)
  announcements.observeAnswer(target, makeAnswerHead({ requestLimit: 5 }), 0, 10)
  assert.equal(announcements.limits.takeReports(30), [{ incarnationHash: target.incarnationHash, perSecond: 5, ageMs: 20 }])
  assert.equal(takePerSecond(3_000), [])
  announcements.observeAnswer(target, makeAnswerHead({ requestLimit: 5 }), 3_000, 3_100)
  assert.equal(takePerSecond(3_200), [5])
  announcements.limits.receive(target, { incarnationHash: target.incarnationHash, perSecond: 2, ageMs: 500 }, 'other', 3_300)
  assert.is(announcements.limits.get(target), 5)
  announcements.limits.receive(target, { incarnationHash: target.incarnationHash, perSecond: 2, ageMs: 10 }, 'other', 3_300)
  assert.is(announcements.limits.get(target), 2)
  assert.equal(takePerSecond(9_000), [])
})

test('answers of another target at the address and spoilt answers announce nothing', () => {
  const { announcements } = createAnnouncements()
  const target = makeTarget()
  announcements.observeAnswer(target, makeAnswerHead({ requestLimit: 5, isMisdirected: true, isNotRun: true }), 0, 10)
  announcements.observeAnswer(target, makeAnswerHead({ requestLimit: 5, isGenuine: false }), 0, 10)
  assert.is(announcements.limits.get(target), Infinity)
  announcements.observeAnswer(target, makeAnswerHead({ requestLimit: 5, isGenuine: false, isNotRun: true, status: 503 }), 0, 10)
  assert.is(announcements.limits.get(target), 5)
})

test.run()
