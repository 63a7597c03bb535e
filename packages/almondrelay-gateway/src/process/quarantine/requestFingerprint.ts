import { createHash } from 'node:crypto'
import type { CallerRequest } from '../../request/callerRequest.js'
import { computeHash } from '../../version/computeHash.js'
import { findOrganisation } from '../../version/findOrganisation.js'

/** Hexadecimal digits of the whole: enough that nobody can make a request that has another one's. */
const DIGITS = 32
/** Those of them that come from the head alone. */
const PREFIX_DIGITS = 8

/**
 * Names what is asked, the same for each attempt of a caller and at each host: the organisation, the method, the address and the body.
 * Requests of different organisations never share one. Worked out when it is first asked for.
 */
export class RequestFingerprint {
  private knownPrefix: string | undefined
  private knownText: string | undefined

  constructor (private readonly request: CallerRequest) {}

  /** Name of the organisation; empty where callers don't identify themselves. */
  get organisation (): string {
    return findOrganisation(this.request.identity)?.name ?? ''
  }

  /** The first digits, for which the body needn't be read. */
  get prefix (): string {
    this.knownPrefix ??= computeHash(this.describeHead()).toString(16).padStart(PREFIX_DIGITS, '0')
    return this.knownPrefix
  }

  get text (): string {
    this.knownText ??= this.prefix + createHash('sha256').update(`${this.describeHead()}\n`).update(this.request.body).digest('hex').slice(0, DIGITS - PREFIX_DIGITS)
    return this.knownText
  }

  static getPrefix (text: string): string {
    return text.slice(0, PREFIX_DIGITS)
  }

  static isText (text: string): boolean {
    return text.length === DIGITS && /^[0-9a-f]+$/.test(text)
  }

  private describeHead (): string {
    const { identity, method, route, url } = this.request
    return JSON.stringify([findOrganisation(identity)?.name ?? null, method, route.hostName, url])
  }
}
