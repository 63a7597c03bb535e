import type { IncomingMessage, ServerResponse } from 'node:http'
import type { OperatorParts } from './operatorParts.js'
import type { OperatorService } from './operatorService.js'

/**
 * Loads the service of the operators' API when it is first needed. Loading it at every start would use processor time while
 * callers wait for the host to restart, and most hosts never receive a call of an operator.
 */
export class LazyOperatorService {
  private service: OperatorService | undefined
  private loading: Promise<OperatorService> | undefined

  constructor (private readonly parts: OperatorParts, private readonly signal: AbortSignal) {}

  /** Revision of the operators' resources in force; 0 until the first is known. */
  get revision (): number {
    return this.service?.revision ?? 0
  }

  answer (request: IncomingMessage, response: ServerResponse): void {
    this.run(async (service) => { await service.answer(request, response) })
  }

  acceptChange (revision: number, body: Buffer): void {
    this.run(async (service) => { await service.acceptChange(revision, body) })
  }

  /** Reads the resources from the store, as after a full read of the fleet that stopped at the product's own keys. */
  refresh (): void {
    this.run(async (service) => { await service.refresh() })
  }

  /** Restores the operators' changes that the store has lost. A host that has never loaded any knows none. */
  handleStoreReturn (): void {
    if (this.service !== undefined) this.run(async (service) => { await service.restore() })
  }

  private run (use: (service: OperatorService) => Promise<void>): void {
    this.load().then(use).catch((error: unknown) => {
      if (!this.signal.aborted) this.parts.logger.error({ err: error as Error }, 'operators\' API call failed')
    })
  }

  private async load (): Promise<OperatorService> {
    this.loading ??= import('./operatorService.js').then(({ OperatorService }) => new OperatorService(this.parts, this.signal))
    this.service = await this.loading
    return this.service
  }
}
