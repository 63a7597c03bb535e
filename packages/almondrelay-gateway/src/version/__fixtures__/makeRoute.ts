import type { Route } from '../route.js'

/** Makes a route to one service, with some fields replaced. */
export function makeRoute (route: Partial<Route> = {}): Route {
  return {
    name: 'one',
    hostName: 'a.example',
    pathPrefix: '/one/',
    idempotent: true,
    timeoutMs: 2_000,
    targetLatencyMs: 250,
    isOpen: false,
    priority: 0,
    sessionAffinity: true,
    maxAttempts: 2,
    allowedRegions: [],
    destinations: [{ service: 'balances', weight: 1 }],
    ...route
  }
}
