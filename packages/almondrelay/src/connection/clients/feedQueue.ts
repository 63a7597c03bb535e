/** Milliseconds for which received bytes are parsed in one turn of the event loop. */
const SLICE_MS = 4

/** Runs tasks in their order, a slice of time in each turn of the event loop, so that other work runs between the slices. */
export class FeedQueue {
  private readonly tasks = new Set<() => void>()
  private isScheduled = false

  /** Whether tasks wait for their turn. */
  get isBusy (): boolean {
    return this.tasks.size > 0
  }

  /** Queues a task, unless it is queued already. */
  push (task: () => void): void {
    this.tasks.add(task)
    this.schedule()
  }

  drop (task: () => void): void {
    this.tasks.delete(task)
  }

  private schedule (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    setImmediate(() => { this.runSlice() })
  }

  private runSlice (): void {
    const startedAt = performance.now()
    // Tasks that are queued meanwhile run in a later turn.
    for (const task of [...this.tasks]) {
      this.tasks.delete(task)
      task()
      if (performance.now() - startedAt >= SLICE_MS) break
    }
    this.isScheduled = false
    if (this.isBusy) this.schedule()
  }
}
