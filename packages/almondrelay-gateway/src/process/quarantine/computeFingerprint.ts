import { createHash } from 'node:crypto'
import { findOrganisation } from '../../version/findOrganisation.js'
import type { CallerRequest } from '../../request/callerRequest.js'

/** Hexadecimal digits of a fingerprint: 128 bits, so that nobody can make a request that has another one's. */
const DIGITS = 32

/**
 * Names what is asked, the same for each attempt of a caller and at each host: the organisation, the method, the address and the body.
 * Requests of different organisations never share one.
 */
export function computeFingerprint ({ identity, method, route, url, body }: CallerRequest): string {
  const head = JSON.stringify([findOrganisation(identity)?.name ?? null, method, route.hostName, url])
  return createHash('sha256').update(`${head}\n`).update(body).digest('hex').slice(0, DIGITS)
}
