interface Work {
  begunAt: number
  endsAt: number
}

/** Requests as they really run, whatever any host believes. */
export class TargetWork {
  private running: Work[] = []

  begin (begunAt: number, endsAt: number): void {
    this.running.push({ begunAt, endsAt })
  }

  /** Requests that run at a time, of those begun after another. */
  count (real: number, begunAfter = -Infinity): number {
    this.running = this.running.filter((work) => work.endsAt > real)
    return this.running.filter((work) => work.begunAt > begunAfter).length
  }
}
