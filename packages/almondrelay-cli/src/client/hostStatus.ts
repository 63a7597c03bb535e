import { z } from 'zod'

const KnownHost = z.looseObject({
  name: z.string(),
  availabilityZone: z.string(),
  region: z.string().optional(),
  revision: z.number().optional(),
  state: z.string().optional()
})

const ZoneStatus = z.looseObject({
  name: z.string(),
  region: z.string().optional(),
  /** The lowest revision that its reachable hosts have in force. */
  revision: z.number()
})

const DrainStatus = z.looseObject({
  name: z.string(),
  drained: z.boolean().optional(),
  /** Requests still running on what is drained. */
  remaining: z.number().optional(),
  heldBackBy: z.string().optional()
})

const CapStatus = z.looseObject({
  name: z.string(),
  /** Requests carried now. */
  carried: z.number(),
  limit: z.number()
})

/** What `GET /v1/status` says of the deployment, as one host sees it. */
const HostStatus = z.looseObject({
  host: z.looseObject({ name: z.string(), region: z.string(), availabilityZone: z.string(), callerAddress: z.string().optional() }),
  revision: z.number(),
  availabilityZones: z.array(ZoneStatus).default([]),
  hosts: z.array(KnownHost).default([]),
  lagging: z.array(z.string()).default([]),
  unreachable: z.array(z.string()).default([]),
  drains: z.array(DrainStatus).default([]),
  caps: z.array(CapStatus).default([])
})

type HostStatus = z.output<typeof HostStatus>

export { HostStatus }
