import bunyan from 'bunyan'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ConnectFailure } from '../../../connection/connectFailure.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import type { TargetState } from '../../../request/targetState.js'
import { RoundTripTimes } from '../../forward/roundTripTimes.js'
import type { TargetPools } from '../../forward/targetPools.js'
import { EventLog } from '../../observe/eventLog.js'
import { GatewayMetrics } from '../../observe/gatewayMetrics.js'
import { LinkMonitor } from '../linkMonitor.js'
import { PeerReach } from '../peerReach.js'

const test = suite('LinkMonitor')

interface RigOptions {
  /** Whether this host reaches a target. */
  reaches: (target: TargetState) => boolean | Promise<boolean>
  peerReach: PeerReach
  targets?: number
}

const createRig = ({ reaches, peerReach, targets: count = 3 }: RigOptions): { monitor: LinkMonitor, targets: TargetState[], exits: TargetState[], questions: TargetState[] } => {
  const targets = Array.from({ length: count }, (_, index) => makeTarget({ id: `i-${index}` }))
  const exits: TargetState[] = []
  const questions: TargetState[] = []
  const getPool = (target: TargetState): object => ({ probe: async () => await reaches(target) ? { kind: 'connected' } : { kind: 'failed', failure: ConnectFailure.refused }, resetIdle: () => undefined })
  const getNow = (): number => 1_000
  const monitor = new LinkMonitor({
    pools: { get: getPool, find: getPool } as unknown as TargetPools,
    roundTripTimes: new RoundTripTimes('akl'),
    listTargets: () => targets,
    askPeers: async (target) => {
      questions.push(target)
      return peerReach
    },
    handleExit: (target) => { exits.push(target) },
    handleLoss: () => undefined,
    log: new EventLog(bunyan.createLogger({ name: 'test', level: bunyan.FATAL + 1 }), getNow),
    metrics: new GatewayMetrics(),
    getNow
  })
  return { monitor, targets, exits, questions }
}
const waitForChecks = async (): Promise<void> => { await new Promise((resolve) => { setTimeout(resolve, 5) }) }

test('a target that refuses connections of this host and is reached by another one has a lost link, and has not exited', async () => {
  const { monitor, targets: [target, other], exits } = createRig({ reaches: () => false, peerReach: PeerReach.reached })
  monitor.handleConnectFailure(target as TargetState, ConnectFailure.refused, true)
  assert.ok(await monitor.verifyLoss(target as TargetState))
  await waitForChecks()
  assert.equal(exits, [])
  assert.not(monitor.isLost(other as TargetState))
})

test('a target that no host reaches has exited if this host reaches another one', async () => {
  const { monitor, targets: [target], exits } = createRig({ reaches: ({ entry }) => entry.id !== 'i-0', peerReach: PeerReach.unreached })
  monitor.handleConnectFailure(target as TargetState, ConnectFailure.refused, true)
  assert.not(await monitor.verifyLoss(target as TargetState))
  await waitForChecks()
  assert.equal(exits, [target])
})

// Guards against innocent requests in quarantine while a host and the hosts that it asks are in the same cut.
test('no exit is counted by a host that reaches no other target either', async () => {
  const { monitor, targets: [target], exits } = createRig({ reaches: () => false, peerReach: PeerReach.unreached })
  monitor.handleConnectFailure(target as TargetState, ConnectFailure.refused, true)
  await waitForChecks()
  assert.equal(exits, [])
})

// Guards against an exit that is missed because another host's question makes this host probe the target at that moment.
test('a refused connection counts as an exit also while the target is being probed', async () => {
  const { monitor, targets: [target], exits } = createRig({ reaches: ({ entry }) => entry.id === 'i-0' ? new Promise<boolean>(() => undefined) : true, peerReach: PeerReach.unreached })
  void monitor.probe(target as TargetState)
  monitor.handleConnectFailure(target as TargetState, ConnectFailure.refused, true)
  await waitForChecks()
  assert.equal(exits, [target])
})

// Guards against a process that ends because a target's entry has an address that can't be connected to.
test('an error while a target is probed counts as a failed probe', async () => {
  const { monitor, targets: [target], exits } = createRig({ reaches: () => Promise.reject(new Error('no such port')), peerReach: PeerReach.unreached })
  assert.not(await monitor.probe(target as TargetState))
  monitor.handleConnectFailure(target as TargetState, ConnectFailure.refused, true)
  await waitForChecks()
  assert.equal(exits, [])
})

test('a target that is leaving is not probed', async () => {
  const { monitor, targets: [target] } = createRig({ reaches: () => true, peerReach: PeerReach.reached })
  target?.markLeaving()
  assert.not(await monitor.probe(target as TargetState))
})

// Guards against a flood of questions among hosts when many targets exit together.
test('few targets are asked about at the same time, and each once within half a second', async () => {
  const { monitor, targets, questions } = createRig({ reaches: () => true, peerReach: PeerReach.unreached, targets: 40 })
  for (const target of [...targets, ...targets]) monitor.handleConnectFailure(target, ConnectFailure.timedOut, false)
  await waitForChecks()
  for (const target of targets.slice(0, 4)) monitor.handleConnectFailure(target, ConnectFailure.timedOut, false)
  await waitForChecks()
  assert.is(questions.length, 4)
})

test.run()
