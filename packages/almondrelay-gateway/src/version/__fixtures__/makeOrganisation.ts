import type { Organisation } from '../organisation.js'

/** An organisation without limits, with some of its parts replaced. */
export function makeOrganisation (organisation: Partial<Organisation> = {}): Organisation {
  return { name: 'school', keys: ['k1'], priority: 0, ratePerSecond: 0, burst: 0, allowedRegions: [], ...organisation }
}
