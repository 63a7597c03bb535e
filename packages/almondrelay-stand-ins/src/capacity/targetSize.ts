/** The size that the design has to carry, and what control may cost a host there; figures of the brief for developers. */
export const targetSize = {
  hosts: 4_800,
  availabilityZones: 80,
  hostsInZone: 60,
  regions: 21,
  clientBlocks: 710_000,
  sites: 1_200,
  lookupsPerSecond: 2_800_000,
  changesPerDay: 19_000,
  secondsToForce: 4,
  coreShare: 0.045,
  memoryBytes: 256e6,
  controlBytesPerSecond: 12_000,
  /** What the platform takes: reads a second, and "several hundred" writes. */
  platformReadsPerSecond: 2_000,
  platformWritesPerSecond: 300
} as const
