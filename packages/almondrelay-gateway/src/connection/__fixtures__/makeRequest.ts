import type { CallerRequest } from '../../request/callerRequest.js'
import { makeRoute } from '../../version/__fixtures__/makeRoute.js'

/** Builds a request from defaults, with the given fields replaced. */
export function makeRequest (request: Partial<CallerRequest> = {}): CallerRequest {
  return {
    id: 'r1',
    method: 'GET',
    url: '/one/2',
    rawHeaders: [],
    body: Buffer.alloc(0),
    affinityKey: '7',
    route: makeRoute(),
    identity: { kind: 'unchecked' },
    organisationKey: undefined,
    allowedRegions: [],
    configurationVersion: 1,
    arrivedAt: 0,
    deadline: 2_000,
    ...request
  }
}
