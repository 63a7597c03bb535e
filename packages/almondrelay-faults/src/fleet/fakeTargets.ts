import { HeaderName, TargetSender, type Clock, type TargetReply, type TargetRequest } from 'almondrelay'
import { match } from 'ts-pattern'
import { TargetFault } from './targetFault.js'

const OVERSIZE_BYTES = 10_000_000

/** Targets at the interface of their connections: they count what they run, by request id. */
export class FakeTargets extends TargetSender {
  readonly runs = new Map<string, number>()
  readonly running = new Map<string, number>()
  /** The most that ever ran at once, by address. */
  readonly mostRunning = new Map<string, number>()
  readonly faults = new Map<string, TargetFault>()
  serviceMs = 10

  constructor (private readonly clock: Clock) {
    super()
  }

  override async send (address: string, request: TargetRequest, signal: AbortSignal): Promise<TargetReply> {
    const id = request.headers.find((header) => header.name === HeaderName.id)?.value ?? ''
    return await match(this.faults.get(address) ?? TargetFault.none)
      .with(TargetFault.refuse, async (): Promise<TargetReply> => ({ kind: 'not-sent', message: 'ECONNREFUSED' }))
      .with(TargetFault.shed, async (): Promise<TargetReply> => ({ kind: 'shed', retryAfterMs: undefined }))
      .with(TargetFault.silent, async () => await waitForAbort(signal))
      .with(TargetFault.loseAnswer, async (): Promise<TargetReply> => {
        await this.run(address, id, signal)
        return { kind: 'lost', message: 'other side closed', broken: false }
      })
      .with(TargetFault.breakBody, async (): Promise<TargetReply> => {
        await this.run(address, id, signal)
        return { kind: 'lost', message: 'other side closed', broken: true }
      })
      .with(TargetFault.oversize, async (): Promise<TargetReply> => {
        await this.run(address, id, signal)
        return { kind: 'too-large', bytes: OVERSIZE_BYTES }
      })
      .with(TargetFault.none, async (): Promise<TargetReply> => {
        const isWhole = await this.run(address, id, signal)
        if (!isWhole) return { kind: 'lost', message: 'aborted', broken: false }
        return { kind: 'answered', status: 200, headers: [], body: new TextEncoder().encode(`${id} at ${address}`) }
      })
      .exhaustive()
  }

  countRuns (id: string): number {
    return this.runs.get(id) ?? 0
  }

  /** Runs to the end even where nobody waits; false where the answer was given up on. */
  private async run (address: string, id: string, signal: AbortSignal): Promise<boolean> {
    this.runs.set(id, this.countRuns(id) + 1)
    const running = (this.running.get(address) ?? 0) + 1
    this.running.set(address, running)
    this.mostRunning.set(address, Math.max(running, this.mostRunning.get(address) ?? 0))
    await this.clock.sleep(this.serviceMs, signal)
    this.running.set(address, (this.running.get(address) ?? 1) - 1)
    return !signal.aborted
  }
}

function waitForAbort (signal: AbortSignal): Promise<TargetReply> {
  return new Promise((resolve) => {
    const finish = (): void => { resolve({ kind: 'lost', message: 'aborted', broken: false }) }
    if (signal.aborted) finish()
    signal.addEventListener('abort', finish, { once: true })
  })
}
