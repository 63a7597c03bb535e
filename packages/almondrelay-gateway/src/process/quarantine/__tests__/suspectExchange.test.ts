import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FleetState } from '../../fleet/fleetState.js'
import type { HostEntry } from '../../fleet/hostEntry.js'
import { decodeDatagram } from '../../peers/decodeDatagram.js'
import type { PeerSocket } from '../../peers/peerSocket.js'
import { PeerView } from '../../peers/peerView.js'
import { encodeSuspectReport } from '../encodeSuspectReport.js'
import { Suspect } from '../suspect.js'
import { SuspectExchange } from '../suspectExchange.js'
import type { SuspectReport } from '../suspectReport.js'
import type { SuspectState } from '../suspectState.js'

const test = suite('SuspectExchange')
const SEED = 20_261_203
const FINGERPRINT = 'ab'.repeat(16)
const STATE: SuspectState = { fingerprint: FINGERPRINT, organisation: 'school', ended: [1, 0xffffffff], cleared: [1] }
const makeEntry = (name: string, availabilityZone: string): HostEntry => ({ name, incarnation: 'i1', availabilityZone, region: 'akl', ip: `10.0.0.${name.charCodeAt(0)}`, callerPort: 1, peerPort: 2 })
const ENTRIES = [...['a', 'b', 'c', 'd'].map((name) => makeEntry(name, 'one')), ...['x', 'y', 'z'].map((name) => makeEntry(name, 'two'))]

/** Host a of zone one, with the reports that it sends. */
class ExchangeRig {
  readonly sent: Array<{ to: string, report: SuspectReport }> = []
  readonly received: SuspectState[] = []
  readonly slept: number[] = []
  readonly owner = new AbortController()
  /** Whether the port is closed, as when the host ends; sending then throws. */
  isClosed = false
  private readonly own = ENTRIES[0] as HostEntry
  private readonly fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  readonly exchange: SuspectExchange

  constructor (isNew = true) {
    for (const entry of ENTRIES) this.fleet.putHost(entry)
    this.fleet.isComplete = true
    const socket = {
      send: (bytes: Uint8Array, ip: string) => {
        if (this.isClosed) throw new Error('not running')
        const message = decodeDatagram(bytes)
        const to = ENTRIES.find((entry) => entry.ip === ip)
        if (message?.kind === 'suspects' && to !== undefined) this.sent.push({ to: to.name, report: message.report })
      }
    } as unknown as PeerSocket
    this.exchange = new SuspectExchange({
      own: this.own,
      view: new PeerView(this.own, this.fleet),
      socket,
      getNow: () => 0,
      sleep: (ms) => { this.slept.push(ms); return Promise.resolve() },
      receiveState: (state) => { this.received.push(state); return isNew }
    }, this.owner.signal)
  }

  receive (report: Partial<SuspectReport>, ip = ENTRIES[4]?.ip as string): void {
    this.exchange.handleReport({ host: 'x', incarnation: 'i1', suspects: [STATE], passesOn: true, ...report }, ip)
  }
}

test('announcements are sent several times to the own zone and to the aggregating hosts of the others', async () => {
  const rig = new ExchangeRig()
  const suspect = new Suspect(FINGERPRINT, 'school')
  suspect.merge(STATE, 0)
  rig.exchange.announce(suspect)
  await new Promise((resolve) => { setImmediate(resolve) })
  assert.equal([...new Set(rig.sent.map(({ to, report }) => `${to} ${report.passesOn}`))].sort(), ['b false', 'c false', 'd false', 'x true', 'y true'])
  assert.is(rig.sent.filter(({ to }) => to === 'b').length, 3)
  assert.equal(rig.sent[0]?.report.suspects, [{ ...STATE, ended: [1, 0xffffffff] }])
})

test('a report from another zone is passed on to the own one, but only once', () => {
  const rig = new ExchangeRig()
  rig.receive({})
  assert.equal(rig.sent.map(({ to, report }) => `${to} ${report.passesOn}`), ['b false', 'c false', 'd false'])
  const informed = new ExchangeRig(false)
  informed.receive({})
  assert.equal(informed.sent, [])
})

// Guards against anybody on the network getting a customer's request quarantined with a datagram.
test('a report counts only from the current incarnation and address of its sender', () => {
  const rig = new ExchangeRig()
  rig.receive({ host: 'nobody' })
  rig.receive({ incarnation: 'i0' })
  rig.receive({}, '10.0.0.9')
  rig.receive({ host: 'a' }, '10.0.0.97')
  assert.equal(rig.received, [])
})

// Guards against the exit of a target with a thousand requests saturating the links between all hosts.
test('reports are small and rate-limited however many suspects there are', async () => {
  const rig = new ExchangeRig()
  for (let number = 0; number < 100; number += 1) rig.exchange.announce(new Suspect(number.toString(16).padStart(32, '0'), 'school'))
  for (let turn = 0; turn < 500; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
  assert.ok(rig.sent.every(({ report }) => encodeSuspectReport(report).byteLength < 1_400))
  const bytes = rig.sent.reduce((sum, { report }) => sum + encodeSuspectReport(report).byteLength, 0)
  assert.ok(bytes / (rig.slept.reduce((sum, ms) => sum + ms, 0) / 1_000) <= 12_000)
})

// Guards against a planned stop that fails because announcements were still to be sent.
test('nothing is sent once the host ends', async () => {
  const rig = new ExchangeRig()
  rig.exchange.announce(new Suspect(FINGERPRINT, 'school'))
  rig.owner.abort()
  rig.isClosed = true
  await new Promise((resolve) => { setImmediate(resolve) })
  assert.equal(rig.sent, [])
})

test('a datagram that is not a valid report is ignored', () => {
  const report = { host: 'a', incarnation: 'i1', suspects: [STATE], passesOn: false }
  assert.is(decodeDatagram(encodeSuspectReport(report))?.kind, 'suspects')
  assert.is(decodeDatagram(encodeSuspectReport({ ...report, host: '' })), undefined)
  assert.is(decodeDatagram(encodeSuspectReport({ ...report, suspects: [{ ...STATE, fingerprint: 'x' }] })), undefined)
  assert.is(decodeDatagram(encodeSuspectReport({ ...report, suspects: [{ ...STATE, ended: new Array<number>(65).fill(1) }] })), undefined)
  const bytes = Buffer.from(encodeSuspectReport(report))
  fc.assert(fc.property(fc.nat(bytes.length - 1), fc.integer({ min: 0, max: 255 }), (index, value) => {
    const changed = Buffer.from(bytes)
    changed[index] = value
    decodeDatagram(changed)
  }), { seed: SEED, numRuns: 500 })
})

test.run()
