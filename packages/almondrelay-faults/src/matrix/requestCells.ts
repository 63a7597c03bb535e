import assert from 'node:assert/strict'
import { TargetFault } from '../fleet/targetFault.js'
import type { Cell } from './cell.js'
import { checkAnswer } from './checkAnswer.js'
import { checkTruth } from './checkTruth.js'
import { createPair } from './createPair.js'
import { Fault } from './fault.js'
import { ProofKind } from './proofKind.js'
import { Step } from './step.js'

const HOME = 'akl-a-host'
const OTHER = 'wlg-a-host'

/** Faults at the steps of one request on targets of the home's own zone. */
export const requestCells: Cell[] = [
  {
    step: Step.accept,
    faults: [Fault.kill],
    outcome: 'the repeat, through another host, is told unknown (home-gone) at once; nothing runs a second time',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      const first = fleet.send({ host: HOME })
      fleet.getHost(HOME).kill()
      const repeat = fleet.send({ host: OTHER, home: HOME, id: first.id })
      await fleet.clock.advance(100)
      checkAnswer(repeat.getAnswer(), { outcome: 'unknown', reason: 'home-gone' })
      checkTruth(fleet.targets, [{ id: first.id, answer: await repeat.answer }])
    }
  },
  {
    step: Step.accept,
    faults: [Fault.freeze],
    outcome: 'the request that waited in the frozen host is answered after it wakes, or told not-run past its deadline; one run at most',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      fleet.getHost(HOME).clock.freeze()
      const sent = fleet.send({ host: HOME })
      await fleet.clock.advance(2_000)
      assert.equal(sent.getAnswer(), undefined)
      fleet.getHost(HOME).clock.wake()
      await fleet.clock.advance(100)
      checkAnswer(sent.getAnswer(), { outcome: 'run' })
      checkTruth(fleet.targets, [{ id: sent.id, answer: await sent.answer }])
    }
  },
  {
    step: Step.admit,
    faults: [Fault.freeze],
    outcome: 'a request whose deadline passed while the host was frozen is told not-run, and is not sent after the host wakes',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      fleet.targets.serviceMs = 200
      const running = [0, 1, 2, 3].map(() => fleet.send({ host: HOME, deadlineMs: 5_000 }))
      await fleet.clock.advance(50)
      const queued = [0, 1, 2, 3, 4, 5].map(() => fleet.send({ host: HOME, deadlineMs: 1_000 }))
      await fleet.clock.advance(20)
      fleet.getHost(HOME).clock.freeze()
      fleet.getHost(OTHER).clock.freeze()
      await fleet.clock.advance(3_000)
      fleet.getHost(HOME).clock.wake()
      fleet.getHost(OTHER).clock.wake()
      await fleet.clock.advance(8_000)
      const all = [...running, ...queued]
      checkTruth(fleet.targets, await Promise.all(all.map(async ({ id, answer }) => ({ id, answer: await answer }))))
    }
  },
  {
    step: Step.connect,
    faults: [Fault.kill],
    outcome: 'the target refuses the connection, so nothing left; another target of the zone runs it once',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      fleet.targets.faults.set(fleet.getTarget('akl-a', 0), TargetFault.refuse)
      const sent = [0, 1, 2, 3].map(() => fleet.send({ host: HOME }))
      await fleet.clock.advance(1_000)
      for (const each of sent) checkAnswer(each.getAnswer(), { outcome: 'run' })
      checkTruth(fleet.targets, await Promise.all(sent.map(async ({ id, answer }) => ({ id, answer: await answer }))))
    }
  },
  {
    step: Step.wait,
    faults: [Fault.kill],
    outcome: 'the target ends after it took the request: unknown at once, and the repeat gets the same answer; one run',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      for (const index of [0, 1]) fleet.targets.faults.set(fleet.getTarget('akl-a', index), TargetFault.loseAnswer)
      const first = fleet.send({ host: HOME })
      await fleet.clock.advance(50)
      checkAnswer(first.getAnswer(), { outcome: 'unknown', reason: 'answer-lost' })
      const repeat = fleet.send({ host: HOME, id: first.id })
      await fleet.clock.advance(50)
      checkAnswer(repeat.getAnswer(), { outcome: 'unknown', reason: 'answer-lost' })
      assert.equal(fleet.targets.countRuns(first.id), 1)
    }
  },
  {
    step: Step.wait,
    faults: [Fault.silentConnection],
    outcome: 'a non-idempotent request is told unknown at its deadline, no later; it is never sent again',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      for (const index of [0, 1]) fleet.targets.faults.set(fleet.getTarget('akl-a', index), TargetFault.silent)
      const sent = fleet.send({ host: HOME, deadlineMs: 1_000 })
      await fleet.clock.advance(999)
      assert.equal(sent.getAnswer(), undefined)
      await fleet.clock.advance(2)
      checkAnswer(sent.getAnswer(), { outcome: 'unknown' })
      checkTruth(fleet.targets, [{ id: sent.id, answer: await sent.answer }])
    }
  },
  {
    step: Step.wait,
    faults: [Fault.freeze],
    outcome: 'the answer that came while the host was frozen reaches the caller after it wakes; one run',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      fleet.targets.serviceMs = 100
      const sent = fleet.send({ host: HOME })
      await fleet.clock.advance(50)
      fleet.getHost(HOME).clock.freeze()
      await fleet.clock.advance(1_000)
      fleet.getHost(HOME).clock.wake()
      await fleet.clock.advance(50)
      checkAnswer(sent.getAnswer(), { outcome: 'run' })
      checkTruth(fleet.targets, [{ id: sent.id, answer: await sent.answer }])
    }
  },
  {
    step: Step.body,
    faults: [Fault.kill],
    outcome: 'the target breaks off in mid-body: no part of the answer is passed on; unknown for non-idempotent work, another target for idempotent',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      fleet.targets.faults.set(fleet.getTarget('akl-a', 0), TargetFault.breakBody)
      const posts = [0, 1, 2, 3].map(() => fleet.send({ host: HOME }))
      await fleet.clock.advance(1_000)
      const reads = [0, 1, 2, 3].map(() => fleet.send({ host: HOME, method: 'GET' }))
      await fleet.clock.advance(1_000)
      for (const read of reads) checkAnswer(read.getAnswer(), { outcome: 'run' })
      checkTruth(fleet.targets, await Promise.all(posts.map(async ({ id, answer }) => ({ id, answer: await answer }))))
    }
  },
  {
    step: Step.answer,
    faults: [Fault.cutBack],
    outcome: 'the caller went away; the work runs to its end, and the repeat gets the kept answer; one run',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      const first = fleet.send({ host: HOME })
      await fleet.clock.advance(5)
      first.cancel()
      await fleet.clock.advance(100)
      const repeat = fleet.send({ host: OTHER, home: HOME, id: first.id })
      await fleet.clock.advance(100)
      checkAnswer(repeat.getAnswer(), { outcome: 'run' })
      checkTruth(fleet.targets, [{ id: first.id, answer: await repeat.answer }])
    }
  },
  {
    step: Step.repeat,
    faults: [Fault.kill],
    outcome: 'the home was restarted: its new incarnation says unknown (home-gone) at once and runs nothing',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      const old = fleet.getHost(HOME).identity
      const first = fleet.send({ host: HOME })
      await fleet.clock.advance(5)
      fleet.getHost(HOME).kill()
      fleet.restart(HOME)
      const repeat = fleet.send({ host: HOME, home: HOME, homeIncarnation: old.incarnation, id: first.id })
      await fleet.clock.advance(100)
      checkAnswer(repeat.getAnswer(), { outcome: 'unknown', reason: 'home-gone' })
      checkTruth(fleet.targets, [{ id: first.id, answer: await repeat.answer }])
    }
  },
  {
    step: Step.repeat,
    faults: [Fault.freeze],
    outcome: 'the home is frozen: a repeat through another host is told unknown (home-unreachable) after 3 s; one run at most after it wakes',
    kind: ProofKind.here,
    prove: async () => {
      const fleet = createPair()
      const first = fleet.send({ host: HOME })
      await fleet.clock.advance(5)
      fleet.getHost(HOME).clock.freeze()
      const repeat = fleet.send({ host: OTHER, home: HOME, id: first.id })
      await fleet.clock.advance(3_500)
      checkAnswer(repeat.getAnswer(), { outcome: 'unknown', reason: 'home-unreachable' })
      fleet.getHost(HOME).clock.wake()
      await fleet.clock.advance(1_000)
      checkAnswer(first.getAnswer(), { outcome: 'run' })
      checkTruth(fleet.targets, [{ id: first.id, answer: await first.answer }])
    }
  }
]
