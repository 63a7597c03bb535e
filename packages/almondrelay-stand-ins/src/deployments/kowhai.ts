import type { Deployment } from './deployment.js'

/** Kōwhai Leave Systems: sizes of the brief; link limit, service times and shares are the project's own. */
export const kowhai: Deployment = {
  name: 'kowhai',
  regions: [
    { name: 'akl', availabilityZones: [{ name: 'akl-a', hosts: 2 }, { name: 'akl-b', hosts: 2 }], clientBlock: '10.1.0.0/16' },
    { name: 'wlg', availabilityZones: [{ name: 'wlg-a', hosts: 2 }, { name: 'wlg-b', hosts: 2 }], clientBlock: '10.2.0.0/16' },
    { name: 'chc', availabilityZones: [{ name: 'chc-a', hosts: 1 }, { name: 'chc-b', hosts: 1 }], clientBlock: '10.3.0.0/16' }
  ],
  services: [
    { name: 'balances', targets: 16, slots: 6, connections: 360, serviceTimeMs: 15, answerBytes: 600, readPath: '/balances', share: 5 },
    { name: 'requests', targets: 12, slots: 4, connections: 360, serviceTimeMs: 30, answerBytes: 300, readPath: '/requests', writePath: '/requests', share: 2 },
    { name: 'approvals', targets: 12, slots: 3, connections: 360, serviceTimeMs: 25, answerBytes: 200, readPath: '/approvals', writePath: '/approvals', share: 1.5 },
    { name: 'calendars', targets: 12, slots: 3, connections: 360, serviceTimeMs: 20, answerBytes: 4_000, readPath: '/calendars', share: 1.5 }
  ],
  latencyMs: { betweenAvailabilityZones: 1, betweenRegions: 20, client: 3 },
  linkMaxInFlight: 24,
  callers: { 'school-12': 4, 'council-3': 3, 'clinic-7': 2, 'payroll-1': 1 }
}
