import { z } from 'zod'
import { ResourceStatus } from './resourceStatus.js'

const KnownHost = z.looseObject({
  host: z.string(),
  availabilityZone: z.string().default(''),
  region: z.string().default(''),
  callerAddress: z.string().default(''),
  revision: z.number().optional(),
  state: z.string().default('')
})

const ZoneStatus = z.looseObject({
  availabilityZone: z.string(),
  region: z.string(),
  /** The lowest revision in force on the zone's reachable hosts; absent if no host of the zone can be reached. */
  revision: z.number().optional(),
  reachableHosts: z.number(),
  /** Age of the oldest report that this status is based on, in milliseconds. */
  knownAgeMs: z.number()
})

const NamedStatus = z.looseObject({ name: z.string(), revision: z.number(), status: ResourceStatus })

/** Answer of `GET /v1/status`: the deployment as seen by one host. */
const HostStatus = z.looseObject({
  host: KnownHost,
  isReady: z.boolean(),
  revision: z.number(),
  availabilityZones: z.array(ZoneStatus),
  laggingHosts: z.array(z.looseObject({ host: z.string(), revision: z.number() })),
  unreachableHosts: z.array(z.string()),
  hosts: z.array(KnownHost),
  drains: z.array(NamedStatus),
  caps: z.array(NamedStatus)
})

type HostStatus = z.output<typeof HostStatus>

export { HostStatus }
