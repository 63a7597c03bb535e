import { z } from 'zod'
import { ResourceName } from './resourceName.js'

const ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/

/** One back end of a service. */
const TargetSpec = z.strictObject({
  name: ResourceName,
  /** IP address and port. */
  address: z.string().regex(ADDRESS, 'write an IP number and a port, such as 10.0.0.7:8080'),
  availabilityZone: ResourceName,
  /** Maximum number of requests that the target can run at once. */
  slots: z.number().int().min(1).max(10_000),
  /** Maximum number of connections that the target accepts from all hosts together. */
  connections: z.number().int().min(1).max(100_000).default(360)
})

type TargetSpec = z.infer<typeof TargetSpec>

export { TargetSpec }
