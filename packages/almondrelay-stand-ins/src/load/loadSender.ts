import type { LoadAnswer } from './loadAnswer.js'
import type { LoadOperation } from './loadOperation.js'

/** How a load reaches the system. */
export abstract class LoadSender {
  /** Resolves with what the caller is told at last. */
  abstract send (operation: LoadOperation, signal: AbortSignal): Promise<LoadAnswer>
  abstract close (): Promise<void>
}
