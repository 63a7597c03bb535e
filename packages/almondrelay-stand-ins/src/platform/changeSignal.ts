import { EventEmitter, once } from 'node:events'

const EVENT = 'change'

/** Wakes everyone who waits for the next change. */
export class ChangeSignal {
  private readonly emitter = new EventEmitter().setMaxListeners(0)

  notify (): void {
    this.emitter.emit(EVENT)
  }

  /** Returns at the next change, after `limitMs`, or when the signal aborts. */
  async wait (limitMs: number, signal: AbortSignal): Promise<void> {
    const end = AbortSignal.any([signal, AbortSignal.timeout(Math.max(1, Math.ceil(limitMs)))])
    await once(this.emitter, EVENT, { signal: end }).catch(() => {})
  }
}
