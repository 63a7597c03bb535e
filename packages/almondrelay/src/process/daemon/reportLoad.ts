import type { Host } from './host.js'

/** Loads are sent with heartbeats, so counting them more often has no use. */
const REPORT_INTERVAL_MS = 100

/**
 * Periodically applies changes that trigger no event: targets reported as leaving, slots that became
 * free, and the load that heartbeats report to peers.
 */
export async function reportLoad (host: Host, signal: AbortSignal): Promise<void> {
  const { clock, membership, leavingTargets, services, slots, capacity, metrics } = host
  while (!signal.aborted) {
    const now = clock.getNow()
    for (const runtime of services.list()) runtime.observeLeaving((target) => leavingTargets.isLeaving(runtime.name, target), now)
    const loads = services.list().map((runtime) => {
      const free = capacity.countFree(runtime.name, now)
      const waiting = [...runtime.queues.values()].reduce((sum, regionQueue) => sum + regionQueue.countWaiting(), 0)
      const running = slots.countRunning(runtime.name)
      metrics.observeLoad(runtime.name, waiting, running)
      return { service: runtime.name, freeSlots: Math.max(0, free - waiting), running }
    })
    membership.updateSelf({ loads })
    services.advance(now)
    await clock.sleep(REPORT_INTERVAL_MS, signal)
  }
}
