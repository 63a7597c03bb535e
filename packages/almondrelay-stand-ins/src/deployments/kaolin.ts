import type { Deployment } from './deployment.js'

/** Kaolin Gate Verification: sizes of the brief; link limit, service times and shares are the project's own. */
export const kaolin: Deployment = {
  name: 'kaolin',
  regions: [
    { name: 'tpe', availabilityZones: [{ name: 'tpe-a', hosts: 2 }, { name: 'tpe-b', hosts: 2 }], clientBlock: '10.11.0.0/16' },
    { name: 'txg', availabilityZones: [{ name: 'txg-a', hosts: 1 }, { name: 'txg-b', hosts: 1 }], clientBlock: '10.12.0.0/16' },
    { name: 'khh', availabilityZones: [{ name: 'khh-a', hosts: 1 }, { name: 'khh-b', hosts: 1 }], clientBlock: '10.13.0.0/16' }
  ],
  services: [
    { name: 'regsvc', targets: 14, slots: 6, connections: 330, serviceTimeMs: 15, answerBytes: 1_200, readPath: '/registrations', share: 5 },
    { name: 'ordersvc', targets: 12, slots: 3, connections: 330, serviceTimeMs: 30, answerBytes: 300, readPath: '/orders', writePath: '/orders', share: 2 },
    { name: 'signsvc', targets: 12, slots: 3, connections: 330, serviceTimeMs: 25, answerBytes: 200, readPath: '/signoffs', writePath: '/signoffs', share: 1 },
    { name: 'watchsvc', targets: 12, slots: 3, connections: 330, serviceTimeMs: 20, answerBytes: 2_000, readPath: '/sanctions', share: 2 }
  ],
  latencyMs: { betweenAvailabilityZones: 1, betweenRegions: 55, client: 1 },
  linkMaxInFlight: 21,
  callers: { 'maker-4': 5, 'maker-9': 3, 'buyer-2': 2 }
}
