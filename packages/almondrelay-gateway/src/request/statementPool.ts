import type { TargetStatement } from './targetStatement.js'

/** Ratio of two speeds from which on the change is significant. */
const SIGNIFICANT_RATIO = 1.25
/** Time, in milliseconds, after which what other hosts know of a target that isn't as usual has faded, and is told again. */
const REPEAT_MS = 600
/** Age, in milliseconds, from which on a statement says nothing any more, and above which one is no longer kept for comparison. */
const MAX_AGE_MS = 2_000
const MAX_KEPT_MS = 10_000
/** What hosts assume of a target of which they know no statement. */
const USUAL = { waiting: 0, speedPercent: 100 }

type Figures = Pick<TargetStatement, 'waiting' | 'speedPercent'>

interface PooledStatement {
  latest: TargetStatement
  /** The statement that hosts were told last. */
  lastSent: TargetStatement | undefined
  /** A host of the own availability zone received it from the target. */
  isOwnZone: boolean
}

/**
 * Newest statements of targets at a host that passes them on, and which of them differ significantly from what others were told.
 *
 * Handles targets whose speeds change about every 0.6 s while all of them state them hundreds of times a second: most statements say
 * what other hosts know or assume anyway.
 */
export class StatementPool {
  private readonly statements = new Map<number, PooledStatement>()

  /** Adds a statement unless a newer one of the target is known. */
  put (statement: TargetStatement, isOwnZone: boolean): void {
    const known = this.statements.get(statement.incarnationHash)
    if (known !== undefined && known.latest.statedAt >= statement.statedAt) return
    this.statements.set(statement.incarnationHash, { latest: statement, lastSent: known?.lastSent, isOwnZone })
  }

  /** Records that another host told this statement to the hosts of the zone. */
  observeSent (statement: TargetStatement): void {
    this.put(statement, false)
    const known = this.statements.get(statement.incarnationHash)
    if (known !== undefined && statement.statedAt >= (known.lastSent?.statedAt ?? -Infinity)) known.lastSent = statement
  }

  /** Drops statements that are too old for any comparison. */
  expire (now: number): void {
    for (const [hash, { latest }] of this.statements) if (now - latest.statedAt > MAX_KEPT_MS) this.statements.delete(hash)
  }

  /** Returns the number of targets of which a statement is kept. */
  get size (): number {
    return this.statements.size
  }

  /** Takes the statements to be told now, the newest first; more than the maximum wait for the next call. */
  takeDue (maxCount: number, now: number): Array<{ statement: TargetStatement, isOwnZone: boolean }> {
    this.expire(now)
    const due = [...this.statements.values()].filter((pooled) => now - pooled.latest.statedAt <= MAX_AGE_MS && isDue(pooled))
    const taken = due.sort((one, other) => other.latest.statedAt - one.latest.statedAt).slice(0, maxCount)
    return taken.map((pooled) => {
      pooled.lastSent = pooled.latest
      return { statement: pooled.latest, isOwnZone: pooled.isOwnZone }
    })
  }
}

const isDue = ({ latest, lastSent }: PooledStatement): boolean => {
  if (lastSent === latest) return false
  if (lastSent === undefined || latest.statedAt - lastSent.statedAt > MAX_AGE_MS) return isSignificant(latest, USUAL)
  return isSignificant(latest, lastSent) || (isSignificant(latest, USUAL) && latest.statedAt - lastSent.statedAt >= REPEAT_MS)
}

const isSignificant = (one: Figures, other: Figures): boolean => {
  const ratio = one.speedPercent / other.speedPercent
  return ratio >= SIGNIFICANT_RATIO || ratio <= 1 / SIGNIFICANT_RATIO || (one.waiting > 0) !== (other.waiting > 0)
}
