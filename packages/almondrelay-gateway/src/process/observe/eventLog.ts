import type Logger from 'bunyan'

/** Lines a second at most; a host at its full rate of requests writes about a third of that. */
const LINES_PER_SECOND = 600
const SECOND_MS = 1_000

/** Structured log lines, bounded in number: under overload lines are dropped and counted, never waited for. */
export class EventLog {
  private secondStart = 0
  private lines = 0
  private dropped = 0

  constructor (private readonly logger: Logger, private readonly getNow: () => number) {}

  /** What touches one request or one belief of the host. */
  record (event: string, fields: object): void {
    if (this.use()) this.logger.info(fields, event)
  }

  /** What an operator should see; not bounded, as it is rare. */
  report (event: string, fields: object): void {
    this.logger.warn(fields, event)
  }

  logError (event: string, error: Error): void {
    if (this.use()) this.logger.error({ err: error }, event)
  }

  private use (): boolean {
    const now = this.getNow()
    if (now - this.secondStart >= SECOND_MS) {
      if (this.dropped > 0) this.logger.warn({ dropped: this.dropped }, 'log lines dropped')
      this.secondStart = now
      this.lines = 0
      this.dropped = 0
    }
    this.lines += 1
    if (this.lines <= LINES_PER_SECOND) return true
    this.dropped += 1
    return false
  }
}
