import type { Neighbour } from '../../process/membership/neighbour.js'
import type { ExchangeHub } from './exchangeHub.js'
import { runPeerExchange } from './runPeerExchange.js'

/**
 * Interval at which neighbours are planned again if nothing has changed, so that other hosts from which no reports
 * arrive, or never did, are tried. A plan considers every known host, which takes 3 ms for 4,800 hosts.
 */
const REPLAN_INTERVAL_MS = 2_000

interface RunningExchange {
  neighbour: Neighbour
  owner: AbortController
  task: Promise<void>
}

/** Runs one exchange task for each planned or temporary neighbour, until the signal aborts. */
export async function runExchanges (hub: ExchangeHub, signal: AbortSignal): Promise<void> {
  const { membership, leavingTargets, clock, heartbeatMs } = hub.options
  const running = new Map<string, RunningExchange>()
  let plan: readonly Neighbour[] = []
  let plannedAt = -Infinity
  let plannedUpdate = -1
  while (!signal.aborted) {
    const now = clock.getNow()
    membership.advance(now)
    leavingTargets.expire(now)
    hub.prunePeers(now)
    // Temporary neighbours come first: where a host is also a planned neighbour, the later entry with the planned interval applies.
    if (membership.changeTracker.latest !== plannedUpdate || now - plannedAt >= REPLAN_INTERVAL_MS) {
      plan = membership.planNeighbours(now)
      plannedAt = now
      plannedUpdate = membership.changeTracker.latest
    }
    applyPlan([...hub.listTemporaryNeighbours(now), ...plan], running, hub)
    hub.setPeerCount(running.size)
    await clock.sleep(heartbeatMs, signal)
  }
  await Promise.all([...running.values()].map(stopExchange))
}

function applyPlan (plan: readonly Neighbour[], running: Map<string, RunningExchange>, hub: ExchangeHub): void {
  const planned = new Map(plan.map((neighbour) => [neighbour.host, neighbour]))
  for (const [host, exchange] of running) {
    const next = planned.get(host)
    if (next?.peerAddress === exchange.neighbour.peerAddress) {
      exchange.neighbour.intervalMs = next.intervalMs
      planned.delete(host)
      continue
    }
    running.delete(host)
    stopExchange(exchange).catch((error: unknown) => { hub.options.log.error({ err: error, peer: host }, 'exchange task failed') })
  }
  for (const [host, neighbour] of planned) running.set(host, startExchange({ ...neighbour }, hub))
}

function startExchange (neighbour: Neighbour, hub: ExchangeHub): RunningExchange {
  const owner = new AbortController()
  const task = runPeerExchange(neighbour, hub, owner.signal)
  return { neighbour, owner, task }
}

async function stopExchange (exchange: RunningExchange): Promise<void> {
  exchange.owner.abort()
  await exchange.task
}
