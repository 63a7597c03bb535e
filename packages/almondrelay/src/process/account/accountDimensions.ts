/** The fields of an account row by which requests are grouped. */
export const accountDimensions = ['caller', 'service', 'target', 'region', 'availabilityZone', 'callerRegion', 'outcome', 'reason'] as const
