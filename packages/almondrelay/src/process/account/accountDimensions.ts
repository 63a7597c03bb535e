/** The parts of a row by which requests are told apart. */
export const accountDimensions = ['caller', 'service', 'target', 'region', 'availabilityZone', 'callerRegion', 'outcome', 'reason'] as const
