import type { Organisation } from '../organisation.js'

/** Makes an organisation without limits, with some fields replaced. */
export function makeOrganisation (organisation: Partial<Organisation> = {}): Organisation {
  return { name: 'school', keys: ['k1'], priority: 0, ratePerSecond: 0, burst: 0, allowedRegions: [], ...organisation }
}
