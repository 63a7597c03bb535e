import { setTimeout as sleep } from 'node:timers/promises'
import { computeReach } from './computeReach.js'
import { fetchStatus } from './fetchStatus.js'
import type { OperatorClient } from './operatorClient.js'
import type { RevisionReach } from './revisionReach.js'

const POLL_INTERVAL_MS = 100

/** Polls the status until the revision is in force on every reachable host, or the timeout has passed. */
export async function waitForReach (client: OperatorClient, revision: number, timeoutMs: number, signal: AbortSignal): Promise<RevisionReach> {
  const deadline = performance.now() + timeoutMs
  for (;;) {
    const reach = computeReach(await fetchStatus(client), revision)
    if (reach.inForce || performance.now() >= deadline) return reach
    await sleep(POLL_INTERVAL_MS, undefined, { signal })
  }
}
