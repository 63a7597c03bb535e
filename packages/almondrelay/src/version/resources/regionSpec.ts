import { z } from 'zod'
import { ResourceName } from './resourceName.js'

/** A region, its availability zones and its load limit. */
const RegionSpec = z.strictObject({
  availabilityZones: z.array(ResourceName).min(1).max(64),
  /** Maximum number of requests that the region's targets may run at once, over all services. */
  maxInFlight: z.number().int().min(1).max(10_000_000),
  /** IP prefixes of the clients that are nearest to this region. */
  clientBlocks: z.array(z.string()).max(100_000).default([])
})

type RegionSpec = z.infer<typeof RegionSpec>

export { RegionSpec }
