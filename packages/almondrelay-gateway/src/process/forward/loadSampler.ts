import { sleepFor } from 'almondrelay'
import type { TurnQueue } from '../../connection/turnQueue.js'
import type { HostLoad } from '../../request/hostLoad.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'

/** Milliseconds between two measurements of this host's delay. */
const SAMPLE_INTERVAL_MS = 50

interface SamplerParts {
  load: HostLoad
  turns: TurnQueue
  log: EventLog
  metrics: GatewayMetrics
  getNow: () => number
  /** Called with each measurement, for other work that is due several times a second: each timer of its own costs a wake-up. */
  handleSample: (now: number) => void
}

/** Measures until the signal aborts how late a timer of this host fires and how long requests wait for their turn. */
export async function runLoadSampler ({ load, turns, log, metrics, getNow, handleSample }: SamplerParts, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const dueAt = getNow() + SAMPLE_INTERVAL_MS
    await sleepFor(SAMPLE_INTERVAL_MS, signal)
    const now = getNow()
    const delayMs = Math.max(0, now - dueAt, turns.computeDelay(now))
    metrics.observeDelay(delayMs)
    handleSample(now)
    const acceptDelayMs = turns.computeAcceptDelay(now)
    if (!load.observeDelay(delayMs, acceptDelayMs)) continue
    log.report(load.isShedding ? 'host overloaded, requests are shed' : 'host no longer overloaded', { delayMs: Math.round(delayMs), acceptDelayMs: Math.round(acceptDelayMs) })
  }
}
