import { STATES_SPEED_MS } from '../../request/statesSpeedMs.js'
import type { TargetAnswerHead } from '../../request/targetAnswerHead.js'
import type { TargetChoice } from '../../request/targetChoice.js'
import type { TargetState } from '../../request/targetState.js'
import type { TargetStatement } from '../../request/targetStatement.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'

/** Choices of which one is made again without statements: a second choice doubles the time of the first. */
const CHOICES_PER_COMPARISON = 8

interface LoadsParts {
  fleet: Pick<FleetState, 'findIncarnation'>
  metrics: Pick<GatewayMetrics, 'observeStatementAge' | 'countStatementChoice'>
}

/** Takes in what targets state about their load, from their answers to this host and through other hosts. */
export class TargetLoads {
  /** Called with each new statement to this host or of another one. */
  handleStatement: () => void = () => undefined
  private lastStatedAt = -Infinity
  private choices = 0
  /** Newest statements to this host that other hosts haven't been told of, by incarnation; a target has one at most. */
  private readonly unsent = new Map<number, TargetStatement>()

  constructor (private readonly parts: LoadsParts) {}

  /** Takes over the load that a target states in an answer to this host. */
  observeAnswer (target: TargetState, { load, isMisdirected, isGenuine, isNotRun }: TargetAnswerHead, now: number): void {
    if (load?.speedPercent === undefined || isMisdirected || (!isGenuine && !isNotRun)) return
    const { running, waiting, speedPercent } = load
    if (!target.receiveStatement({ running, waiting, speedPercent }, now)) return
    this.lastStatedAt = now
    this.unsent.set(target.incarnationHash, { incarnationHash: target.incarnationHash, running, waiting, speedPercent, statedAt: now })
    this.handleStatement()
  }

  /** Takes over a statement that another host passed on; false if it is of no known target or no newer than the last one. */
  receive (statement: TargetStatement, now: number): boolean {
    const { incarnationHash, running, waiting, speedPercent, statedAt } = statement
    const isNewer = this.parts.fleet.findIncarnation(incarnationHash)?.receiveStatement({ running, waiting, speedPercent }, statedAt) === true
    if (!isNewer) return false
    this.lastStatedAt = now
    this.handleStatement()
    return true
  }

  /** Adds a statement that another host received to those that this host sends. */
  addUnsent (statement: TargetStatement): void {
    const known = this.unsent.get(statement.incarnationHash)
    if (known === undefined || known.statedAt < statement.statedAt) this.unsent.set(statement.incarnationHash, statement)
  }

  /** Returns the statements to this host since the last call. */
  takeUnsent (): TargetStatement[] {
    const statements = [...this.unsent.values()]
    this.unsent.clear()
    return statements
  }

  /** Whether targets have stated speeds lately. */
  isActive (now: number): boolean {
    return now - this.lastStatedAt <= STATES_SPEED_MS
  }

  /** Counts a choice and, of one in eight, whether statements changed it; does nothing while no target states its speed. */
  observeChoice (choice: TargetChoice | undefined, chooseWithout: () => TargetChoice | undefined, now: number): void {
    if (choice === undefined || !this.isActive(now)) return
    if (choice.statedAgeMs !== undefined) this.parts.metrics.observeStatementAge(choice.statedAgeMs)
    this.choices += 1
    if (this.choices % CHOICES_PER_COMPARISON === 0) this.parts.metrics.countStatementChoice(chooseWithout()?.target === choice.target ? 'same' : 'changed')
  }
}
