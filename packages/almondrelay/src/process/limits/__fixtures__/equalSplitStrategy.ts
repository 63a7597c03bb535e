import { LimitStrategy } from './limitStrategy.js'

/** Each host may use a fixed, equal share of every target; no capacity moves between hosts. */
export class EqualSplitStrategy extends LimitStrategy {
  private readonly running = new Map<string, number>()

  constructor (private readonly targets: readonly string[], private readonly slotsOfHost: number) {
    super()
  }

  tryStart (host: number, _holder: string): string | undefined {
    const target = this.targets.find((each) => this.count(host, each) < this.slotsOfHost)
    if (target !== undefined) this.running.set(`${host}/${target}`, this.count(host, target) + 1)
    return target
  }

  release (host: number, _holder: string, target: string): void {
    this.running.set(`${host}/${target}`, this.count(host, target) - 1)
  }

  advance (): void {}

  private count (host: number, target: string): number {
    return this.running.get(`${host}/${target}`) ?? 0
  }
}
