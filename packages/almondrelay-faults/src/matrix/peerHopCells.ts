import assert from 'node:assert/strict'
import type { FakeFleet } from '../fleet/fakeFleet.js'
import { LinkFault } from '../fleet/linkFault.js'
import { TargetFault } from '../fleet/targetFault.js'
import type { Cell } from './cell.js'
import { checkAnswer } from './checkAnswer.js'
import { checkTruth } from './checkTruth.js'
import { createPair } from './createPair.js'
import { Fault } from './fault.js'
import { ProofKind } from './proofKind.js'
import { Step } from './step.js'

const HOME = 'akl-a-host'
const PEER = 'wlg-a-host'

/** The home's own zone is drained, so that all its work goes to the peer. */
function createDrainedPair (): FakeFleet {
  const fleet = createPair()
  fleet.applyResource({ kind: 'Drain', name: 'akl-work', revision: 0, spec: { scope: 'availabilityZone', name: 'akl-a' } })
  return fleet
}

/** Faults between a home and the peer that owns the target. */
export const peerHopCells: Cell[] = [
  {
    step: Step.peerHop,
    faults: [Fault.silentConnection],
    outcome: 'pings find the silent connection; the attempt is fenced on a new one, told not started, and made again: one run',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createDrainedPair()
      const warm = fleet.send({ host: HOME })
      await fleet.clock.advance(200)
      checkAnswer(warm.getAnswer(), { outcome: 'run' })
      fleet.getHost(HOME).links.injectSilence(PEER)
      const sent = fleet.send({ host: HOME })
      await fleet.clock.advance(4_900)
      checkAnswer(sent.getAnswer(), { outcome: 'run' })
      checkTruth(fleet.targets, [{ id: sent.id, answer: await sent.answer }])
    }
  },
  {
    step: Step.peerHop,
    faults: [Fault.cutBack],
    outcome: 'the peer runs it and its answer is lost: fenced until the cut heals, then the answer; one run',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createDrainedPair()
      fleet.targets.serviceMs = 300
      const sent = fleet.send({ host: HOME })
      await fleet.clock.advance(100)
      assert.equal(fleet.targets.countRuns(sent.id), 1)
      fleet.getHost(HOME).links.faults.set(PEER, LinkFault.loseAnswer)
      fleet.getHost(HOME).links.cancelCalls()
      await fleet.clock.advance(1_000)
      assert.equal(sent.getAnswer(), undefined)
      fleet.getHost(HOME).links.faults.delete(PEER)
      await fleet.clock.advance(3_000)
      checkAnswer(sent.getAnswer(), { outcome: 'run' })
      checkTruth(fleet.targets, [{ id: sent.id, answer: await sent.answer }])
    }
  },
  {
    step: Step.peerHop,
    faults: [Fault.cutTo],
    outcome: 'no credit can be asked for: refused at once, not-run, with Retry-After; nothing runs',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createDrainedPair()
      fleet.getHost(HOME).links.faults.set(PEER, LinkFault.loseRequest)
      const sent = fleet.send({ host: HOME, deadlineMs: 2_000 })
      await fleet.clock.advance(2_100)
      checkAnswer(sent.getAnswer(), { outcome: 'not-run' })
      checkTruth(fleet.targets, [{ id: sent.id, answer: await sent.answer }])
    }
  },
  {
    step: Step.peerHop,
    faults: [Fault.kill],
    outcome: 'the peer ends while it holds the request: unknown at once, one run at most; later work is refused truthfully',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createDrainedPair()
      fleet.targets.serviceMs = 300
      const sent = fleet.send({ host: HOME })
      await fleet.clock.advance(100)
      fleet.getHost(PEER).kill()
      await fleet.clock.advance(200)
      checkAnswer(sent.getAnswer(), { outcome: 'unknown', reason: 'answer-lost' })
      const later = fleet.send({ host: HOME })
      await fleet.clock.advance(5_100)
      checkAnswer(later.getAnswer(), { outcome: 'not-run' })
      checkTruth(fleet.targets, [{ id: sent.id, answer: await sent.answer }, { id: later.id, answer: await later.answer }])
    }
  },
  {
    step: Step.peerHop,
    faults: [Fault.kill, Fault.freeze],
    outcome: 'the peer was restarted meanwhile: its new incarnation can\'t vouch for the old one, so unknown, never a second run',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createDrainedPair()
      fleet.targets.serviceMs = 300
      const sent = fleet.send({ host: HOME })
      await fleet.clock.advance(100)
      fleet.getHost(PEER).kill()
      fleet.restart(PEER)
      await fleet.clock.advance(500)
      checkAnswer(sent.getAnswer(), { outcome: 'unknown', reason: 'answer-lost' })
      checkTruth(fleet.targets, [{ id: sent.id, answer: await sent.answer }])
    }
  },
  {
    step: Step.peerHop,
    faults: [Fault.freeze, Fault.leaseLapse],
    outcome: 'the peer is frozen before it reads the attempt and wakes after the credit lapsed: it refuses, and nothing runs on the lapsed credit',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createDrainedPair()
      const host = fleet.getHost(HOME)
      const sent = fleet.send({ host: HOME, deadlineMs: 2_000 })
      await fleet.clock.advance(2)
      fleet.getHost(PEER).clock.freeze()
      await fleet.clock.advance(3_000)
      assert.ok(['unknown', 'not-run'].includes(sent.getAnswer()?.outcome ?? ''), 'an answer by the deadline')
      fleet.getHost(PEER).clock.wake()
      await fleet.clock.advance(1_000)
      assert.equal(fleet.targets.countRuns(sent.id), 0)
      assert.equal(host.path.handler.countInFlight(), 0)
    }
  },
  {
    step: Step.peerHop,
    faults: [Fault.slow],
    outcome: 'a target at the peer that never answers costs the caller its deadline, told unknown, and no second run',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createDrainedPair()
      for (const index of [0, 1]) fleet.targets.faults.set(fleet.getTarget('wlg-a', index), TargetFault.silent)
      const sent = fleet.send({ host: HOME, deadlineMs: 1_000 })
      await fleet.clock.advance(1_100)
      checkAnswer(sent.getAnswer(), { outcome: 'unknown' })
      checkTruth(fleet.targets, [{ id: sent.id, answer: await sent.answer }])
    }
  }
]
