import type { Answer } from 'almondrelay'
import assert from 'node:assert/strict'
import { match } from 'ts-pattern'
import { LinkFault } from '../fleet/linkFault.js'
import { TargetFault } from '../fleet/targetFault.js'
import { checkTruth } from './checkTruth.js'
import { createTriple } from './createTriple.js'
import type { InterleavingStep } from './interleavingStep.js'

interface Told {
  id: string
  answer: Answer
}

/** Longer than any deadline, pause and credit together. */
const SETTLE_MS = 30_000
const DEADLINE_MS = 3_000
/** Time by which an answer may come after its deadline: the host reads its clock after the timer. */
const LATE_MS = 5

/** Plays steps against a fleet, heals every fault, and checks what callers were told against what ran. */
export async function runInterleaving (steps: readonly InterleavingStep[], seed: number): Promise<void> {
  const fleet = createTriple(seed)
  const names = fleet.hosts.map((host) => host.identity.host)
  const sent: Array<{ id: string, home: string, homeIncarnation: number }> = []
  const late: string[] = []
  const told: Told[] = []
  const send = (host: string, home: string, homeIncarnation: number, id: string | undefined): string => {
    const request = fleet.send({ host, home, homeIncarnation, deadlineMs: DEADLINE_MS, ...(id === undefined ? {} : { id }) })
    const sentAt = fleet.clock.getNow()
    void request.answer.then((answer) => {
      told.push({ id: request.id, answer })
      if (fleet.clock.getNow() - sentAt > DEADLINE_MS + LATE_MS && !fleet.wasFrozen) late.push(request.id)
    })
    return request.id
  }
  for (const step of steps) {
    const host = names[step.host % names.length] as string
    const peer = names[step.peer % names.length] as string
    match(step.action)
      .with('send', () => {
        const { incarnation } = fleet.getHost(host).identity
        sent.push({ id: send(host, host, incarnation, undefined), home: host, homeIncarnation: incarnation })
      })
      .with('repeat', () => {
        const known = sent[step.peer % Math.max(1, sent.length)]
        if (known !== undefined) send(host, known.home, known.homeIncarnation, known.id)
      })
      .with('kill', () => {
        fleet.getHost(host).kill()
        fleet.restart(host)
      })
      .with('freeze', () => { fleet.freeze(host) })
      .with('wake', () => { fleet.getHost(host).clock.wake() })
      .with('cut', () => { fleet.getHost(host).links.faults.set(peer, LinkFault.loseRequest) })
      .with('loseAnswers', () => {
        fleet.getHost(host).links.faults.set(peer, LinkFault.loseAnswer)
        fleet.getHost(host).links.cancelCalls()
      })
      .with('delay', () => { fleet.getHost(host).links.faults.set(peer, LinkFault.delayRequest) })
      .with('break', () => { fleet.getHost(host).links.cancelCalls() })
      .with('silence', () => { fleet.getHost(host).links.injectSilence(peer) })
      .with('heal', () => { fleet.getHost(host).links.faults.clear() })
      .with('target', () => { fleet.targets.faults.set(fleet.getTarget(step.zone, step.peer % 2), step.targetFault) })
      .with('drain', () => { fleet.applyResource({ kind: 'Drain', name: 'work', revision: 0, spec: { scope: 'availabilityZone', name: step.zone } }) })
      .exhaustive()
    await fleet.clock.advance(step.waitMs)
  }
  for (const host of fleet.hosts) {
    host.clock.wake()
    host.links.faults.clear()
  }
  for (const address of fleet.targets.faults.keys()) fleet.targets.faults.set(address, TargetFault.none)
  await fleet.clock.advance(SETTLE_MS)
  checkTruth(fleet.targets, told)
  assert.deepEqual(late, [], 'answered after the deadline')
  for (const [address, most] of fleet.targets.mostRunning) assert.ok(most <= fleet.slots, `${address} ran ${most} at once, over its ${fleet.slots} slots`)
}
