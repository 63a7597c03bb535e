import { createHash } from 'node:crypto'
import type { CallerRequest } from '../../request/callerRequest.js'
import { computeHash } from '../../version/computeHash.js'
import { findOrganisation } from '../../version/findOrganisation.js'

/** Hexadecimal digits of a fingerprint: enough that nobody can craft a request with the fingerprint of another one. */
const DIGITS = 32
/** Leading digits, which depend on the head of the request alone. */
const PREFIX_DIGITS = 8

/**
 * Fingerprint of a request's organisation, method, host name, URL and body: the same for each attempt of a caller and on each host.
 * Requests of different organisations never share one. Computed on first access.
 */
export class RequestFingerprint {
  private cachedPrefix: string | undefined
  private cachedText: string | undefined

  constructor (private readonly request: CallerRequest) {}

  /** Name of the caller's organisation; empty if callers do not identify themselves. */
  get organisation (): string {
    return findOrganisation(this.request.identity)?.name ?? ''
  }

  /** Leading digits, computed without reading the body. */
  get prefix (): string {
    this.cachedPrefix ??= computeHash(this.describeHead()).toString(16).padStart(PREFIX_DIGITS, '0')
    return this.cachedPrefix
  }

  get text (): string {
    this.cachedText ??= this.prefix + createHash('sha256').update(`${this.describeHead()}\n`).update(this.request.body).digest('hex').slice(0, DIGITS - PREFIX_DIGITS)
    return this.cachedText
  }

  static getPrefix (text: string): string {
    return text.slice(0, PREFIX_DIGITS)
  }

  static isValid (text: string): boolean {
    return text.length === DIGITS && /^[0-9a-f]+$/.test(text)
  }

  private describeHead (): string {
    const { identity, method, route, url } = this.request
    return JSON.stringify([findOrganisation(identity)?.name ?? null, method, route.hostName, url])
  }
}
