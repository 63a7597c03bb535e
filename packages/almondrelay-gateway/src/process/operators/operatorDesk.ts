import type { IncomingMessage, ServerResponse } from 'node:http'
import type { OperatorParts } from './operatorParts.js'
import type { OperatorService } from './operatorService.js'

/**
 * The way to the operators' resources. What serves them is loaded when it is first needed: a host that restarts is
 * charged all of its start, callers wait for it, and most hosts never get an operator's call.
 */
export class OperatorDesk {
  private service: OperatorService | undefined
  private loading: Promise<OperatorService> | undefined

  constructor (private readonly parts: OperatorParts, private readonly signal: AbortSignal) {}

  /** Revision of the operators' resources in force; 0 before any is known. */
  get revision (): number {
    return this.service?.revision ?? 0
  }

  answer (request: IncomingMessage, response: ServerResponse): void {
    this.run(async (service) => { await service.answer(request, response) })
  }

  acceptChange (revision: number, body: Buffer): void {
    this.run(async (service) => { await service.acceptChange(revision, body) })
  }

  /** Reads the resources again, as after a full read of the store that shows that there may be some. */
  refresh (): void {
    this.run(async (service) => { await service.repair() })
  }

  private run (use: (service: OperatorService) => Promise<void>): void {
    this.load().then(use).catch((error: unknown) => {
      if (!this.signal.aborted) this.parts.logger.error({ err: error as Error }, 'call to the operators\' resources failed')
    })
  }

  private async load (): Promise<OperatorService> {
    this.loading ??= import('./operatorService.js').then(({ OperatorService }) => new OperatorService(this.parts, this.signal))
    this.service = await this.loading
    return this.service
  }
}
