import type { Deployment } from '../deployments/deployment.js'

const TARGETS = 3
/** More slots than the load has connections, so that no request waits for one. */
const SLOTS = 100

/** One entry host with three fast targets. */
export const benchDeployment: Deployment = {
  name: 'bench',
  regions: [{ name: 'akl', availabilityZones: [{ name: 'akl-a', hosts: 1 }], clientBlock: '10.1.0.0/16' }],
  services: [{ name: 'bench', targets: TARGETS, slots: SLOTS, connections: 360, serviceTimeMs: 0, answerBytes: 600, readPath: '/read', writePath: '/write', share: 1 }],
  latencyMs: { betweenAvailabilityZones: 0, betweenRegions: 0, client: 0 },
  linkMaxInFlight: 1,
  callers: {}
}
