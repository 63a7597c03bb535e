interface Work {
  begunAt: number
  endsAt: number
}

/** The requests that actually run, independent of any host's state. */
export class TargetWork {
  private running: Work[] = []

  begin (begunAt: number, endsAt: number): void {
    this.running.push({ begunAt, endsAt })
  }

  /** Counts the requests that run at the time `real` and began after `begunAfter`. */
  count (real: number, begunAfter = -Infinity): number {
    this.running = this.running.filter((work) => work.endsAt > real)
    return this.running.filter((work) => work.begunAt > begunAfter).length
  }
}
