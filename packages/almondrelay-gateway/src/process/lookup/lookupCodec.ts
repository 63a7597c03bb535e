import type { HostEntry } from '../fleet/hostEntry.js'

/** How callers ask which hosts to use, and how the platform asks whether this host serves. */
export abstract class LookupCodec {
  abstract readonly lookupPath: string
  abstract readonly readinessPath: string

  /** Region from which the question comes; undefined where it doesn't say. */
  abstract decodeRegion (query: URLSearchParams): string | undefined

  /** @param lifeMs how long the caller may keep the answer */
  abstract encodeHosts (hosts: readonly HostEntry[], lifeMs: number): string
}
