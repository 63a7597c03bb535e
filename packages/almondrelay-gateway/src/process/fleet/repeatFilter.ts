import { putBounded } from '../../request/putBounded.js'

/** Keys whose last word is remembered: more than operators look at; whoever writes that many has them logged again. */
const MOST_REMEMBERED = 256

/**
 * Lets each new word about a key through and holds its repeats back.
 *
 * Answers a writer that renews an unusable value with every heartbeat, and full reads that find it each time: one line
 * tells the operators as much as a thousand, and a thousand hide the others.
 */
export class RepeatFilter {
  private readonly last = new Map<string, string>()

  /** True where this differs from the last word about the key. */
  accept (key: string, word: string): boolean {
    if (this.last.get(key) === word) return false
    putBounded(this.last, key, word, MOST_REMEMBERED)
    return true
  }
}
