import { z } from 'zod'

/** A resource as the resource API shows it. */
const ShownResource = z.looseObject({
  kind: z.string(),
  name: z.string(),
  revision: z.number(),
  spec: z.unknown(),
  status: z.looseObject({ drained: z.boolean().optional(), remaining: z.number().optional(), heldBackBy: z.string().optional() }).optional()
})

type ShownResource = z.output<typeof ShownResource>

export { ShownResource }
