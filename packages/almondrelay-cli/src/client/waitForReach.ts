import { setTimeout as sleep } from 'node:timers/promises'
import { computeReach } from './computeReach.js'
import { fetchStatus } from './fetchStatus.js'
import type { OperatorClient } from './operatorClient.js'
import type { RevisionReach } from './revisionReach.js'

const POLL_MS = 100

/** Asks until the revision is in force wherever it can be reached, or the time is over. */
export async function waitForReach (client: OperatorClient, revision: number, timeoutMs: number, signal: AbortSignal): Promise<RevisionReach> {
  const until = performance.now() + timeoutMs
  for (;;) {
    const reach = computeReach(await fetchStatus(client), revision)
    if (reach.inForce || performance.now() >= until) return reach
    await sleep(POLL_MS, undefined, { signal })
  }
}
