import VError from 'verror'
import type { ErrorKind } from './errorKind.js'

interface ErrorParts {
  kind: ErrorKind
  /** What failed, and where. */
  message: string
  /** How the reader can correct the problem. */
  remedy: string
  cause?: Error
}

/** Error with a machine-readable kind and a message that ends with the remedy. */
export class AlmondrelayError extends VError {
  readonly kind: ErrorKind
  readonly remedy: string

  constructor (parts: ErrorParts) {
    super({ name: 'AlmondrelayError', ...(parts.cause === undefined ? {} : { cause: parts.cause }) }, '%s: %s', parts.message, parts.remedy)
    this.kind = parts.kind
    this.remedy = parts.remedy
  }
}
