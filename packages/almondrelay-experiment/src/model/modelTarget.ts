import type { EventQueue } from './eventQueue.js'

interface ModelTargetOptions {
  id: string
  region: string
  slots: number
  /** Requests that wait at most; more are refused. */
  queue: number
  /** Objects that it remembers; the one that was handled longest ago is forgotten first. */
  remembers: number
  /** Part of the work that is saved on an object that it remembers. */
  warmGain: number
}

interface TargetJob {
  key: number
  workMs: number
  deadline: number
  /** Told when it ends: whether it ran, and whether the object was remembered. */
  finish: (hasRun: boolean, wasWarm: boolean) => void
}

/** A target: slots, a short queue, and a bounded memory of objects on which it works faster. */
export class ModelTarget {
  /** Times as long as usual that it works. */
  slowness = 1
  private running = 0
  private readonly waiting: TargetJob[] = []
  private readonly memory = new Set<number>()

  constructor (readonly options: ModelTargetOptions, private readonly events: EventQueue) {}

  accept (job: TargetJob): void {
    if (this.running < this.options.slots) this.start(job)
    else if (this.waiting.length < this.options.queue) this.waiting.push(job)
    else job.finish(false, false)
  }

  private start (job: TargetJob): void {
    const wasWarm = this.memory.has(job.key)
    this.running += 1
    const workMs = job.workMs * this.slowness * (wasWarm ? 1 - this.options.warmGain : 1)
    this.events.push(this.events.now + workMs, () => {
      this.running -= 1
      this.keepKey(job.key)
      job.finish(true, wasWarm)
      this.startNext()
    })
  }

  private startNext (): void {
    for (let job = this.waiting.shift(); job !== undefined; job = this.waiting.shift()) {
      if (job.deadline > this.events.now) {
        this.start(job)
        return
      }
      job.finish(false, false)
    }
  }

  private keepKey (key: number): void {
    this.memory.delete(key)
    this.memory.add(key)
    const [oldest] = this.memory
    if (this.memory.size > this.options.remembers && oldest !== undefined) this.memory.delete(oldest)
  }
}
