import { z } from 'zod'

const Entry = z.object({ key: z.string(), value: z.string(), version: z.number().int() })

const Host = z.object({
  name: z.string(),
  role: z.string(),
  availabilityZone: z.string(),
  region: z.string(),
  leaving: z.boolean(),
  callerAddress: z.string().optional(),
  peerAddress: z.string().optional()
})

/** Schemas of the bodies of the platform's answers. */
export const platformAnswers = {
  entry: Entry,
  put: z.object({ stored: z.boolean(), version: z.number().int() }),
  list: z.object({ entries: z.array(Entry) }),
  watch: z.object({
    events: z.array(Entry.extend({ sequence: z.number().int(), deleted: z.boolean() })),
    sequence: z.number().int()
  }),
  grant: z.object({ leaseId: z.string() }),
  renew: z.object({ renewed: z.boolean() }),
  hosts: z.object({ hosts: z.array(Host) })
}
