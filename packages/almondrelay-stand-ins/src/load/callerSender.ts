import { Caller, SystemClock, createSeededRandom } from 'almondrelay'
import type { LoadAnswer } from './loadAnswer.js'
import type { LoadOperation } from './loadOperation.js'
import { LoadSender } from './loadSender.js'

/** Sends as callers do, with the library's `Caller`: one for each caller and region. */
export class CallerSender extends LoadSender {
  private readonly callers = new Map<string, Caller>()

  /** `entries` holds the caller addresses of the entry hosts that a region's callers ask first. */
  constructor (private readonly entries: ReadonlyMap<string, string[]>, private readonly seed: number) {
    super()
  }

  override async send (operation: LoadOperation, signal: AbortSignal): Promise<LoadAnswer> {
    const { service, method, path, body, idempotent, key, deadlineMs } = operation
    const answer = await this.requireCaller(operation).call({ service, method, path, body, idempotent, key, deadlineMs }, signal)
    return { outcome: answer.outcome, status: answer.status, reason: answer.reason ?? '', id: answer.id, target: answer.target ?? '', body: answer.body }
  }

  override async close (): Promise<void> {
    await Promise.all([...this.callers.values()].map(async (caller) => { await caller.close() }))
  }

  private requireCaller ({ caller, region }: LoadOperation): Caller {
    const name = `${caller}/${region}`
    const known = this.callers.get(name)
    if (known !== undefined) return known
    const created = new Caller({ caller, hosts: this.entries.get(region) ?? [], clock: new SystemClock(), random: createSeededRandom(this.seed + this.callers.size) })
    this.callers.set(name, created)
    return created
  }
}
