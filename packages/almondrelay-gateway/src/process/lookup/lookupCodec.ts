import type { HostEntry } from '../fleet/hostEntry.js'

/** Format of the callers' look-ups of hosts, and path of the platform's readiness checks. */
export abstract class LookupCodec {
  abstract readonly lookupPath: string
  abstract readonly readinessPath: string

  /** Returns the region of the caller; undefined if the query doesn't name one. */
  abstract decodeRegion (query: URLSearchParams): string | undefined

  /** @param ttlMs milliseconds for which the caller may cache the answer */
  abstract encodeHosts (hosts: readonly HostEntry[], ttlMs: number): string
}
