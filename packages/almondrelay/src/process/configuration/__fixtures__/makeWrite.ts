import { RegionSpec } from '../../../version/resources/regionSpec.js'
import type { Write } from '../write.js'

type PutWrite = Extract<Write, { action: 'put' }>

/** Makes a put of a Region with its own availability zone. */
export function makeWrite (writeId: string, region: string, maxInFlight = 10, expectedRevision?: number): PutWrite {
  const spec = RegionSpec.parse({ availabilityZones: [`${region}-a`], maxInFlight })
  const write: PutWrite = { writeId, author: 'test', action: 'put', resource: { kind: 'Region', name: region, spec, revision: 0 } }
  return expectedRevision === undefined ? write : { ...write, expectedRevision }
}
