import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { makeWrite } from '../../../process/configuration/__fixtures__/makeWrite.js'
import type { WriteOutcome } from '../../../process/configuration/writeOutcome.js'
import { FakeFleet } from '../__fixtures__/fakeFleet.js'

const ZONES = ['akl-a', 'akl-b', 'wlg-a']
const HOSTS = ZONES.flatMap((zone) => [`${zone}-01`, `${zone}-02`])
const never = new AbortController().signal

const faultStep = fc.record({
  kind: fc.constantFrom('write', 'write', 'write', 'kill', 'restart', 'freeze', 'wake', 'cut', 'mend', 'outage', 'platformBack', 'cutFromPlatform', 'loss', 'lostAnswer'),
  host: fc.constantFrom(...HOSTS),
  zone: fc.constantFrom(...ZONES),
  waitMs: fc.constantFrom(0, 100, 700, 3_000, 12_000)
})

type FaultStep = typeof faultStep extends fc.Arbitrary<infer Step> ? Step : never

interface Run {
  fleet: FakeFleet
  dead: Set<string>
  /** Hosts whose process was killed, with one entry for each kill. */
  ended: string[]
  frozen: Set<string>
  disconnectedZones: Set<string>
  told: Array<Promise<WriteOutcome>>
}

function applyNetworkFaults (run: Run): void {
  const isDisconnected = (host: string) => [...run.disconnectedZones].some((zone) => host.startsWith(zone))
  run.fleet.network.isDropped = (from, to) => run.frozen.has(from) || (from.slice(0, 5) !== to.slice(0, 5) && (isDisconnected(from) || isDisconnected(to)))
}

function runStep (run: Run, step: FaultStep, index: number): void {
  const { fleet } = run
  const host = fleet.getHost(step.host)
  if (step.kind === 'write' && !run.dead.has(step.host) && !run.frozen.has(step.host) && host.store.isReady) run.told.push(host.changeLog.submit(makeWrite(`w${index}`, `r${index % 4}`, index + 1), never))
  if (step.kind === 'kill' && !run.dead.has(step.host)) {
    fleet.killHost(step.host)
    run.dead.add(step.host)
    run.ended.push(step.host)
  }
  if (step.kind === 'restart') restartHost(run, step.host)
  if (step.kind === 'freeze') run.frozen.add(step.host)
  if (step.kind === 'wake') run.frozen.delete(step.host)
  if (step.kind === 'cut') run.disconnectedZones.add(step.zone)
  if (step.kind === 'mend') run.disconnectedZones.delete(step.zone)
  if (step.kind === 'outage') fleet.platform.faults.outage = true
  if (step.kind === 'platformBack') fleet.platform.faults.outage = false
  if (step.kind === 'cutFromPlatform') fleet.disconnectedFromPlatform.add(step.host)
  if (step.kind === 'loss') fleet.network.answerLossShare = 0.3
  if (step.kind === 'lostAnswer') fleet.platform.faults.lostAnswers += 1
  for (const name of HOSTS) fleet.getHost(name).endpoint.isFrozen = run.frozen.has(name)
  applyNetworkFaults(run)
}

function restartHost (run: Run, host: string): void {
  if (!run.dead.delete(host)) return
  run.frozen.delete(host)
  run.fleet.startHost(host, HOSTS)
}

function restoreAll (run: Run): void {
  for (const host of [...run.dead]) restartHost(run, host)
  run.frozen.clear()
  run.disconnectedZones.clear()
  run.fleet.disconnectedFromPlatform.clear()
  run.fleet.network.answerLossShare = 0
  Object.assign(run.fleet.platform.faults, { outage: false, lostAnswers: 0 })
  for (const host of HOSTS) run.fleet.getHost(host).endpoint.isFrozen = false
  applyNetworkFaults(run)
}

// Hosts end, restart, freeze and wake, zones are disconnected, the platform fails and recovers and answers
// are lost, in any order, while operators write. No host may be declared gone that did not end, no
// revision may go back, no host may be ready before it has a configuration, and after recovery every host
// must have every accepted change and see every other host as live.
test('evidence, revisions and repair hold under any order of faults (seed 15)', async () => {
  await fc.assert(fc.asyncProperty(fc.array(faultStep, { minLength: 4, maxLength: 16 }), async (steps) => {
    const fleet = new FakeFleet()
    fleet.startZones(ZONES, 2)
    await fleet.clock.advance(4_000)
    const run: Run = { fleet, dead: new Set(), ended: [], frozen: new Set(), disconnectedZones: new Set(), told: [] }
    for (const [index, step] of steps.entries()) {
      runStep(run, step, index)
      await fleet.clock.advance(step.waitMs)
      for (const host of HOSTS) checkHost(run, host)
    }
    restoreAll(run)
    await fleet.clock.advance(40_000)
    await checkRecovered(run)
    fleet.stopAll()
  }), { seed: 15, numRuns: 40 })
})

function checkHost (run: Run, name: string): void {
  const host = run.fleet.getHost(name)
  assert.equal(host.revisions, [...host.revisions].sort((a, b) => a - b), `${name} steps back`)
  for (const event of host.events) if (event.kind === 'gone') assert.ok(run.ended.includes(event.host), `${name} takes ${event.host} for dead`)
}

async function checkRecovered (run: Run): Promise<void> {
  const { fleet } = run
  const log = await fleet.platform.list('changes/', '', 1_000, never)
  const storedChanges = log.map((entry) => JSON.parse(entry.value) as { writeId: string, revision: number })
  for (const outcome of await Promise.all(run.told)) {
    if (outcome.outcome === 'accepted') assert.ok(storedChanges.some((change) => change.writeId === outcome.writeId && change.revision === outcome.revision))
    else if (outcome.outcome !== 'unknown') assert.not.ok(storedChanges.some((change) => change.writeId === outcome.writeId))
  }
  for (const viewer of HOSTS) {
    checkHost(run, viewer)
    assert.is(fleet.getHost(viewer).store.current.revision, storedChanges.length, `${viewer} has every change`)
    for (const host of HOSTS) assert.is(fleet.getState(viewer, host), 'live', `${viewer} sees ${host}`)
  }
}

test.run()
