import { AccountLedger, AccountWriter, Outcome, type AccountEntry, type Clock, type KeyValueStore, type RefusalReason } from 'almondrelay'
import type { FinalAnswer } from '../../request/finalAnswer.js'
import type { CallerRequest } from '../../request/callerRequest.js'
import { findOrganisation } from '../../version/findOrganisation.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { RequestRecord } from '../forward/requestRecord.js'
import type { EventLog } from './eventLog.js'

interface RecorderParts {
  own: HostEntry
  values: KeyValueStore
  clock: Clock
  log: EventLog
  random: () => number
}

/** Counts final answers by caller, service, place and outcome, and writes the counts to the store each minute as account pages. */
export class AccountRecorder {
  private readonly ledger: AccountLedger
  private readonly writer: AccountWriter

  constructor (private readonly parts: RecorderParts) {
    const { own, values, clock, log, random } = parts
    this.ledger = new AccountLedger({ host: own.name, incarnation: Number.parseInt(own.incarnation, 10) })
    this.writer = new AccountWriter(this.ledger, values, {
      wallNow: () => clock.getWallTime(),
      sleep: (ms, signal) => clock.sleep(ms, signal),
      random,
      logFailure: (error) => { log.logError('account page not written; it is kept and tried again', error) }
    })
  }

  /** Writes pages until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await this.writer.run(signal)
  }

  /**
   * Writes the remaining pages, as at a planned stop; returns the number of pages that could not be written.
   *
   * @param limitMs maximum duration in milliseconds
   */
  async finish (limitMs: number): Promise<number> {
    return await this.writer.finish(limitMs)
  }

  /** Writes the last pages again, as the store has returned from a copy that may lack them. */
  handleStoreReturn (): void {
    this.writer.handlePlatformReturn()
  }

  /** Counts a request that was refused before its service was determined. */
  recordRefusal (caller: string, reason: RefusalReason): void {
    const { own, clock } = this.parts
    const { region, availabilityZone } = own
    this.ledger.record({ at: clock.getWallTime(), caller, service: '', region, availabilityZone, callerRegion: region, outcome: Outcome.notRun, reason, durationMs: 0 })
  }

  record (request: CallerRequest, record: RequestRecord, answer: FinalAnswer, durationMs: number): void {
    const { own, clock } = this.parts
    const last = record.attempts.at(-1)
    this.ledger.record({
      at: clock.getWallTime(),
      caller: describeCaller(request),
      service: record.service,
      region: last?.region ?? own.region,
      availabilityZone: last?.availabilityZone ?? own.availabilityZone,
      callerRegion: own.region,
      durationMs,
      ...(last === undefined ? {} : { target: last.target }),
      ...describeOutcome(answer)
    })
  }
}

// A caller without an identity is counted under the host name of its route.
const describeCaller = ({ identity, route }: CallerRequest): string => findOrganisation(identity)?.name ?? route.hostName

const describeOutcome = (answer: FinalAnswer): Pick<AccountEntry, 'outcome' | 'reason'> => {
  switch (answer.kind) {
    case 'passed': return { outcome: Outcome.run }
    case 'refused':
    case 'unidentified': return { outcome: Outcome.notRun, reason: answer.cause }
    case 'failed': return { outcome: Outcome.unknown, reason: answer.cause }
    case 'abandoned': return { outcome: answer.wasSent ? Outcome.unknown : Outcome.notRun, reason: answer.cause }
  }
}
