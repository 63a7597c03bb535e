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
  /** The lowest revision in force on a host that can be reached; absent where none can be. */
  revision: z.number().optional(),
  reachableHosts: z.number(),
  /** Age of the oldest word that this is built on, in milliseconds. */
  knownAgeMs: z.number()
})

const NamedStatus = z.looseObject({ name: z.string(), revision: z.number(), status: ResourceStatus })

/** What `GET /v1/status` says of the deployment, as one host sees it. */
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
