import { putBounded } from '../../request/putBounded.js'

/** Maximum number of keys whose last message is kept: more than operators read. Messages about dropped keys are logged again. */
const MAX_KEYS = 256

/**
 * Suppresses repeated messages about a key.
 *
 * Without it, a writer that renews an unusable value with every heartbeat, and each full read that finds the value again, would
 * fill the log with the same line and hide other lines from the operators.
 */
export class RepeatFilter {
  private readonly last = new Map<string, string>()

  /** Whether the message differs from the last one about the key. */
  accept (key: string, message: string): boolean {
    if (this.last.get(key) === message) return false
    putBounded(this.last, key, message, MAX_KEYS)
    return true
  }
}
