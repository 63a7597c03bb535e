import type Logger from 'bunyan'

/** Maximum log lines per second; a host at its full request rate writes about a third of that. */
const MAX_LINES_PER_SECOND = 600
const SECOND_MS = 1_000

/** Structured log with a limited rate: under overload, lines are dropped and counted instead of delaying requests. */
export class EventLog {
  private windowStartedAt = 0
  private lines = 0
  private dropped = 0

  constructor (private readonly logger: Logger, private readonly getNow: () => number) {}

  /** Logs an event of a single request, or a change of the host's state, within the rate limit. */
  record (event: string, fields: object): void {
    if (this.use()) this.logger.info(fields, event)
  }

  /** Logs an event for operators; outside the rate limit, because such events are rare. */
  report (event: string, fields: object): void {
    this.logger.warn(fields, event)
  }

  /** Logs an error within the rate limit. */
  logError (event: string, error: Error): void {
    if (this.use()) this.logger.error({ err: error }, event)
  }

  /** Counts a line; returns whether it is within the rate limit. */
  private use (): boolean {
    const now = this.getNow()
    if (now - this.windowStartedAt >= SECOND_MS) {
      if (this.dropped > 0) this.logger.warn({ dropped: this.dropped }, 'log lines dropped')
      this.windowStartedAt = now
      this.lines = 0
      this.dropped = 0
    }
    this.lines += 1
    if (this.lines <= MAX_LINES_PER_SECOND) return true
    this.dropped += 1
    return false
  }
}
