import type { Deployment } from './deployment.js'

/** The deployments of both users, each with its largest service and one of the smaller, non-idempotent services. */
export const deployments: Deployment[] = [
  {
    name: 'kowhai',
    zones: 6,
    regionLatencyMs: 20,
    services: [
      { service: 'balances', targets: 16, slots: 6, meanMs: 20 },
      { service: 'approvals', targets: 12, slots: 3, meanMs: 40 }
    ]
  },
  {
    name: 'kaolin',
    zones: 6,
    regionLatencyMs: 55,
    services: [
      { service: 'regsvc', targets: 14, slots: 6, meanMs: 20 },
      { service: 'ordersvc', targets: 12, slots: 3, meanMs: 40 }
    ]
  }
]
