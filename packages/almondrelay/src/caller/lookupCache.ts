import { request, type Dispatcher } from 'undici'
import { z } from 'zod'
import { AlmondrelayError } from '../process/errors/almondrelayError.js'
import { ErrorKind } from '../process/errors/errorKind.js'
import type { Clock } from '../process/platform/clock.js'
import type { CallerHost } from './callerHost.js'

const LookupAnswer = z.object({
  revision: z.number(),
  ttlMs: z.number(),
  hosts: z.array(z.object({ name: z.string(), incarnation: z.number(), address: z.string(), weight: z.number() })).min(1)
})

interface CachedLookup {
  hosts: CallerHost[]
  expiresAt: number
}

const LOOKUP_TIMEOUT_MS = 1_000

/** Caches look-up answers for their time to live. */
export class LookupCache {
  private readonly cachedLookups = new Map<string, CachedLookup>()
  private knownAddresses: string[]

  constructor (hosts: readonly string[], private readonly clock: Clock, private readonly dispatcher: Dispatcher) {
    this.knownAddresses = [...hosts]
  }

  /** Finds the hosts for a service, best first; rejects with `not-ready` if no host answers and no answer is cached. */
  async find (service: string, signal: AbortSignal): Promise<CallerHost[]> {
    const cached = this.cachedLookups.get(service)
    if (cached !== undefined && cached.expiresAt > this.clock.getNow()) return cached.hosts
    for (const address of this.knownAddresses) {
      const answer = await this.fetchAnswer(address, service, signal)
      if (answer === undefined) continue
      this.cachedLookups.set(service, { hosts: answer.hosts, expiresAt: this.clock.getNow() + answer.ttlMs })
      this.knownAddresses = [...new Set([...answer.hosts.map((host) => host.address), ...this.knownAddresses])]
      return answer.hosts
    }
    if (cached !== undefined) return cached.hosts
    throw new AlmondrelayError({ kind: ErrorKind.notReady, message: `no entry host answered a look-up for ${service}`, remedy: 'check the addresses of the entry hosts, or try again' })
  }

  /** Removes the cached answer for a service, so that the next `find` looks it up again. */
  remove (service: string): void {
    this.cachedLookups.delete(service)
  }

  private async fetchAnswer (address: string, service: string, signal: AbortSignal): Promise<z.infer<typeof LookupAnswer> | undefined> {
    try {
      const response = await request(`http://${address}/v1/lookup?service=${encodeURIComponent(service)}`, {
        dispatcher: this.dispatcher,
        signal: AbortSignal.any([signal, AbortSignal.timeout(LOOKUP_TIMEOUT_MS)])
      })
      const body = await response.body.text()
      return response.statusCode === 200 ? LookupAnswer.parse(JSON.parse(body)) : undefined
    } catch {
      return undefined
    }
  }
}
