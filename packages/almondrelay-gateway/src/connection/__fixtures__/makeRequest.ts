import type { CallerRequest } from '../../request/callerRequest.js'

/** A request with some of its parts replaced. */
export function makeRequest (request: Partial<CallerRequest> = {}): CallerRequest {
  return {
    id: 'r1',
    method: 'GET',
    url: '/one/2',
    rawHeaders: [],
    body: Buffer.alloc(0),
    affinityKey: '7',
    route: {
      name: 'one',
      hostName: 'a.example',
      pathPrefix: '/one/',
      idempotent: true,
      timeoutMs: 2_000,
      targetLatencyMs: 250,
      priority: 0,
      sessionAffinity: true,
      maxAttempts: 2,
      allowedRegions: [],
      destinations: [{ service: 'balances', weight: 1 }]
    },
    configurationVersion: 1,
    arrivedAt: 0,
    deadline: 2_000,
    ...request
  }
}
