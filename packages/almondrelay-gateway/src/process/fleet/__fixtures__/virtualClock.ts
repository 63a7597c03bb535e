const STEP_MS = 10

interface Task {
  at: number
  run: () => void
}

/** Virtual time in steps of 10 ms, for models of several hosts. */
export class VirtualClock {
  now = 0
  private tasks: Task[] = []

  schedule (ms: number, run: () => void): void {
    this.tasks.push({ at: this.now + ms, run })
  }

  /** Resolves after `ms` milliseconds, or when the signal aborts. */
  readonly sleep = (ms: number, signal: AbortSignal): Promise<void> => new Promise((resolve) => {
    if (signal.aborted) {
      resolve()
      return
    }
    const finish = (): void => {
      signal.removeEventListener('abort', finish)
      resolve()
    }
    signal.addEventListener('abort', finish)
    this.schedule(Math.max(1, ms), finish)
  })

  async runUntil (ms: number): Promise<void> {
    while (this.now < ms) {
      this.now += STEP_MS
      const due = this.tasks.filter(({ at }) => at <= this.now)
      this.tasks = this.tasks.filter(({ at }) => at > this.now)
      for (const { run } of due) run()
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }
}
