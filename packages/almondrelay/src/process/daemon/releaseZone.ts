import type { Host } from './host.js'

/** Timeout in milliseconds for removing this host from its zone's roster on the platform. */
const LEAVE_TIMEOUT_MS = 2_000
/** Heartbeat intervals after which the peers have received the report that this process is gone. */
const ANNOUNCEMENT_HEARTBEATS = 2

/** Releases what this host holds, after its last request, so that peers need not wait for evidence that it has ended. */
export async function releaseZone (host: Host): Promise<void> {
  const { rosterTask, membership, settings, clock, log } = host
  const timeout = AbortSignal.timeout(LEAVE_TIMEOUT_MS)
  await rosterTask.removeSelf(timeout).catch((error: unknown) => {
    log.warn({ err: error }, 'host not removed from the roster; peers take over once they have evidence that this process has ended')
  })
  membership.updateSelf({ isGone: true })
  await clock.sleep(settings.peering.heartbeatMs * ANNOUNCEMENT_HEARTBEATS, timeout)
}
