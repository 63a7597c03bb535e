/** What is modelled; times in milliseconds. The figures are those of a middling service of today's deployments. */
export const deployment = {
  regions: ['akl', 'wlg', 'chc'],
  hostsPerRegion: 3,
  /** Targets of each region: the second one has few for its callers. */
  targetsPerRegion: [6, 2, 6],
  slots: 6,
  queue: 18,
  remembers: 47,
  warmGain: 0.7,
  keysPerRegion: 53,
  workMs: 360,
  workSpread: 0.15,
  targetLatencyMs: 250,
  deadlineMs: 2_000,
  /** Value of an answer within the target latency is 1. */
  lateValue: 0.2,
  /** Tries of a caller after a refusal. */
  retries: 1,
  tripNearMs: 2,
  tripFarMs: 40,
  /** Age of what a host knows of its peers' requests. */
  reportMs: 100,
  shiftPart: 0.15
} as const
