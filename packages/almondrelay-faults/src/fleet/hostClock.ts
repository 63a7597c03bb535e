import { Clock } from 'almondrelay'

/** One host's view of virtual time: while the host is frozen its waits end late, and its clock runs on. */
export class HostClock extends Clock {
  private wakeUps: Array<() => void> = []
  private frozen = false

  constructor (private readonly base: Clock) {
    super()
  }

  override getNow (): number {
    return this.base.getNow()
  }

  override getWallTime (): number {
    return this.base.getWallTime()
  }

  override async sleep (ms: number, signal: AbortSignal): Promise<void> {
    await this.base.sleep(ms, signal)
    await this.waitWhileFrozen()
  }

  /** Whatever reaches a frozen host waits here until it wakes. */
  async waitWhileFrozen (): Promise<void> {
    if (this.frozen) await new Promise<void>((resolve) => { this.wakeUps.push(resolve) })
  }

  get isFrozen (): boolean {
    return this.frozen
  }

  freeze (): void {
    this.frozen = true
  }

  wake (): void {
    this.frozen = false
    for (const wake of this.wakeUps.splice(0)) wake()
  }
}
