import VError from 'verror'
import type { ErrorKind } from './errorKind.js'

interface ErrorParts {
  kind: ErrorKind
  /** What is wrong and where. */
  message: string
  /** What the reader should do or write instead. */
  remedy: string
  cause?: Error
}

/** An error with a kind for programs and a message that ends with the remedy. */
export class AlmondrelayError extends VError {
  readonly kind: ErrorKind
  readonly remedy: string

  constructor (parts: ErrorParts) {
    super({ name: 'AlmondrelayError', ...(parts.cause === undefined ? {} : { cause: parts.cause }) }, '%s: %s', parts.message, parts.remedy)
    this.kind = parts.kind
    this.remedy = parts.remedy
  }
}
