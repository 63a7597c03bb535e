import type { Host } from './host.js'

/** Longest wait for the platform to take this host out of its zone's roster, in milliseconds. */
const LEAVE_TIMEOUT_MS = 2_000
/** Heartbeats until the neighbours have heard that this process is gone. */
const TOLD_HEARTBEATS = 2

/** Gives up what this host holds, after its last request: the others need not wait for evidence. */
export async function releaseZone (host: Host): Promise<void> {
  const { rosterKeeper, membership, settings, clock, log } = host
  const timeout = AbortSignal.timeout(LEAVE_TIMEOUT_MS)
  await rosterKeeper.removeSelf(timeout).catch((error: unknown) => {
    log.warn({ err: error }, 'still in the roster: the others take over on evidence that this process has ended')
  })
  membership.updateSelf({ isGone: true })
  await clock.sleep(settings.peering.heartbeatMs * TOLD_HEARTBEATS, timeout)
}
