import { setTimeout as sleepFor } from 'node:timers/promises'
import { isOwnAnswer } from './isOwnAnswer.js'
import type { LoadOperation } from './loadOperation.js'
import type { LoadResult } from './loadResult.js'
import type { LoadSender } from './loadSender.js'

/** Sends each operation at its time, however many are still unanswered, and waits for every answer. */
export async function runLoad (operations: readonly LoadOperation[], sender: LoadSender, signal: AbortSignal): Promise<LoadResult[]> {
  const startedAt = performance.now()
  const sent: Array<Promise<LoadResult>> = []
  for (const operation of operations) {
    const waitMs = startedAt + operation.atMs - performance.now()
    if (waitMs > 1) await sleepFor(waitMs, undefined, { signal })
    signal.throwIfAborted()
    sent.push(runOperation(operation, sender, startedAt + operation.atMs, signal))
  }
  return await Promise.all(sent)
}

async function runOperation (operation: LoadOperation, sender: LoadSender, dueAt: number, signal: AbortSignal): Promise<LoadResult> {
  const { body, ...answer } = await sender.send(operation, signal)
  return { operation, answer, latencyMs: performance.now() - dueAt, isOwnAnswer: isOwnAnswer(operation, { ...answer, body }) }
}
